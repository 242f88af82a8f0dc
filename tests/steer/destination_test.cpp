#include "plugins/steer/destination.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <random>
#include <vector>

namespace pistachiohub
{

namespace
{

using steer::destination_kind;

kernel::monotonic_time const start{std::chrono::hours(1)};

view::backend_server make_server(std::string name, std::uint32_t share, double load)
{
    view::backend_server server;
    server.name = std::move(name);
    server.service = 0;
    server.slot_share = share;
    server.reported_load = load;
    server.reported_at = start;
    return server;
}

view::entry_host make_host(std::string name, view::index domain, std::uint32_t slots)
{
    view::entry_host host;
    host.name = std::move(name);
    host.failure_domain = domain;
    host.state = view::member_state::live;
    host.incarnation = 1;
    host.credits.push_back({0, slots, start + std::chrono::seconds(1)});
    return host;
}

/// Domains 0 and 1 are in the own region "a", 2 in "b", 3 in "c".
view::world_view make_world()
{
    configuration::configuration document;
    document.failure_domains = {{"a-1", "a", 1}, {"a-2", "a", 1}, {"b-1", "b", 1}, {"c-1", "c", 1}};
    document.services.emplace_back().name = "balance";
    view::world_view world;
    world.configuration = std::make_shared<configuration::configuration const>(document);
    world.own_name = "own";
    world.own_failure_domain = 0;
    return world;
}

void set_policy(view::world_view& world, configuration::policy const& policy)
{
    auto document = *world.configuration;
    document.services[0].steering_policy = policy;
    world.configuration = std::make_shared<configuration::configuration const>(document);
}

steer::request_facts make_request()
{
    steer::request_facts request;
    request.service = 0;
    return request;
}

/// @returns how often each server is chosen in 2000 calls.
std::vector<int> count_choices(view::world_view const& world,
                               std::span<steer::server_usage const> usage,
                               kernel::monotonic_time now)
{
    std::mt19937_64 random(7);
    std::vector<int> counts(world.backend_servers.size());
    for (int draw = 0; draw < 2000; ++draw)
    {
        auto const choice = steer::choose(world, usage, {}, make_request(), now, random());
        if (choice.kind == destination_kind::backend_server)
            ++counts[choice.backend_server];
    }
    return counts;
}

} // namespace

// I2: choosing a server without a usable slot overloads it, whatever load it reports.
TEST_CASE("choose_any_state_uses_only_free_untried_slots", "[steer]")
{
    rc::prop("a chosen server is live, untried and has a free slot",
             []()
             {
                 auto world = make_world();
                 std::vector<steer::server_usage> usage;
                 std::vector<std::string> tried;
                 auto const count = *rc::gen::inRange(0, 8);
                 for (int number = 0; number < count; ++number)
                 {
                     auto const name = "server-" + std::to_string(number);
                     auto const share = *rc::gen::inRange<std::uint32_t>(0, 4);
                     auto server = make_server(name, share, *rc::gen::inRange(-1, 3));
                     server.state = *rc::gen::element(view::member_state::live,
                                                      view::member_state::leaving,
                                                      view::member_state::silent);
                     world.backend_servers.push_back(server);
                     usage.push_back({*rc::gen::inRange<std::uint32_t>(0, 4),
                                      *rc::gen::arbitrary<bool>(),
                                      *rc::gen::inRange<std::uint32_t>(0, 3),
                                      start});
                     if (*rc::gen::arbitrary<bool>())
                         tried.push_back(name);
                 }
                 auto request = make_request();
                 request.tried_backend_servers = tried;
                 request.is_suspect = *rc::gen::arbitrary<bool>();
                 auto const random = *rc::gen::arbitrary<std::uint64_t>();
                 auto const choice = steer::choose(world, usage, {}, request, start, random);
                 bool is_any_free = false;
                 for (std::size_t number = 0; number < usage.size(); ++number)
                 {
                     auto const& server = world.backend_servers[number];
                     auto const& used = usage[number];
                     bool const is_free =
                         server.state == view::member_state::live && !used.is_exclusive &&
                         used.refusals == 0 && used.in_flight < server.slot_share &&
                         (!request.is_suspect || used.in_flight == 0) &&
                         std::find(tried.begin(), tried.end(), server.name) == tried.end();
                     is_any_free = is_any_free || is_free;
                     if (choice.backend_server == number)
                         RC_ASSERT(is_free);
                 }
                 RC_ASSERT((choice.kind == destination_kind::backend_server) == is_any_free);
             });
}

// I2: daemons hold credits of different ages. None may use more slots than it was granted.
TEST_CASE("choose_any_stale_view_never_exceeds_credits", "[steer]")
{
    rc::prop("relayed requests in flight stay within unexpired credits",
             []()
             {
                 auto const daemons = *rc::gen::inRange<std::size_t>(1, 6);
                 std::vector<view::world_view> worlds(daemons, make_world());
                 std::vector<std::map<std::string, std::uint32_t>> in_flight(daemons);
                 auto const steps = *rc::gen::container<std::vector<std::uint32_t>>(
                     100, rc::gen::inRange<std::uint32_t>(0, 1000000));
                 auto now = start;
                 for (auto const step : steps)
                 {
                     auto const number = step % daemons;
                     auto& world = worlds[number];
                     now += std::chrono::milliseconds(step % 150);
                     if (step % 3 == 0)
                     {
                         world.entry_hosts = {make_host("sibling", 1, step % 4),
                                              make_host("other", 2, step % 5)};
                         for (auto& host : world.entry_hosts)
                             host.credits[0].expires_at = now + std::chrono::seconds(1);
                         continue;
                     }
                     if (step % 7 == 0)
                         in_flight[number].clear();
                     std::vector<steer::credit_usage> used;
                     for (auto const& [host, count] : in_flight[number])
                         used.push_back({host, 0, count});
                     auto const choice = steer::choose(world, {}, used, make_request(), now, step);
                     if (choice.entry_host == view::no_index)
                         continue;
                     auto const& host = world.entry_hosts[choice.entry_host];
                     RC_ASSERT(now < host.credits[0].expires_at);
                     RC_ASSERT(++in_flight[number][host.name] <= host.credits[0].slots);
                 }
             });
}

// The order is the own failure domain, siblings, then the policy's regions as listed.
TEST_CASE("choose_full_domains_follows_policy_order", "[steer]")
{
    auto world = make_world();
    configuration::policy policy;
    policy.regions = {"c", "b"};
    set_policy(world, policy);
    world.backend_servers.push_back(make_server("server", 1, 0));
    world.entry_hosts = {make_host("b", 2, 5), make_host("c", 3, 5), make_host("sibling", 1, 1)};
    std::vector<steer::server_usage> usage(1);
    std::vector<steer::credit_usage> used;
    auto const choose = [&]()
    {
        return steer::choose(world, usage, used, make_request(), start, 12345);
    };
    CHECK(choose().kind == destination_kind::backend_server);
    usage[0].in_flight = 1;
    CHECK(choose().kind == destination_kind::sibling);
    used.push_back({"sibling", 0, 1});
    CHECK(choose().kind == destination_kind::shift);
    CHECK(choose().entry_host == 1);
    world.entry_hosts[1].state = view::member_state::leaving;
    CHECK(choose().entry_host == 0);
    policy.regions = {"a"};
    set_policy(world, policy);
    CHECK(choose().kind == destination_kind::wait);
    world.backend_servers.clear();
    CHECK(choose().kind == destination_kind::wait);
    world.entry_hosts.clear();
    CHECK(choose().kind == destination_kind::refuse);
}

// If foreign requests were relayed again, they could loop between failure domains.
TEST_CASE("choose_foreign_request_without_slot_is_refused", "[steer]")
{
    auto world = make_world();
    world.entry_hosts = {make_host("sibling", 1, 5)};
    auto request = make_request();
    request.is_foreign = true;
    auto const choice = steer::choose(world, {}, {}, request, start, 1);
    CHECK(choice.kind == destination_kind::refuse);
    CHECK(choice.cause == reason::destination_refused);
}

// A server whose reports stop must not be treated as idle and receive the traffic of the others.
TEST_CASE("choose_missing_report_gains_no_traffic", "[steer]")
{
    auto world = make_world();
    for (int number = 0; number < 4; ++number)
        world.backend_servers.push_back(
            make_server("server-" + std::to_string(number), 4, 0.2 * number));
    std::vector<steer::server_usage> const usage(4, {1, false, 0, {}});
    for (std::size_t silent = 0; silent < 4; ++silent)
    {
        auto counts = count_choices(world, usage, start);
        for (int age = 5; age <= 40; age += 5)
        {
            auto stale = world;
            stale.backend_servers[silent].reported_at = start - std::chrono::seconds(age);
            auto const older = count_choices(stale, usage, start);
            CHECK(older[silent] <= counts[silent]);
            counts = older;
        }
        auto unreported = world;
        unreported.backend_servers[silent].reported_load = -1;
        CHECK(count_choices(unreported, usage, start)[silent] <= 500);
    }
}

TEST_CASE("choose_all_reports_stopped_relaxes_to_equal_weights", "[steer]")
{
    auto world = make_world();
    for (int number = 0; number < 4; ++number)
        world.backend_servers.push_back(
            make_server("server-" + std::to_string(number), 4, 0.2 * number));
    std::vector<steer::server_usage> const usage(4);
    auto const fresh = count_choices(world, usage, start);
    CHECK(fresh[0] > 800);
    CHECK(fresh[3] == 0);
    CHECK(count_choices(world, usage, start + std::chrono::seconds(5)) == fresh);
    for (auto const count : count_choices(world, usage, start + std::chrono::seconds(35)))
        CHECK(count == Approx(500).margin(100));
    CHECK(steer::report_weight(start, start + std::chrono::seconds(20)) == Approx(0.5));
}

// The baselines must ignore slots and credits, or a comparison with them would measure nothing.
TEST_CASE("choose_baselines_ignore_slots_and_credits", "[steer]")
{
    auto world = make_world();
    world.backend_servers = {make_server("server-1", 1, 0.9), make_server("server-2", 1, 0)};
    std::vector<steer::server_usage> const usage{{9, false, 3, start}, {8, false, 0, {}}};
    configuration::policy policy;
    policy.steering = configuration::steering_mode::round_robin;
    set_policy(world, policy);
    CHECK(steer::choose(world, usage, {}, make_request(), start, 4).backend_server == 0);
    CHECK(steer::choose(world, usage, {}, make_request(), start, 5).backend_server == 1);
    policy.steering = configuration::steering_mode::least_connections;
    set_policy(world, policy);
    CHECK(steer::choose(world, usage, {}, make_request(), start, 4).backend_server == 1);
    world.backend_servers.clear();
    world.entry_hosts = {make_host("other", 2, 0)};
    CHECK(steer::choose(world, {}, {}, make_request(), start, 4).entry_host == 0);
}

TEST_CASE("spare_foreign_slots_keeps_headroom", "[steer]")
{
    auto world = make_world();
    world.backend_servers = {make_server("server-1", 5, 0), make_server("server-2", 5, 0)};
    std::vector<steer::server_usage> usage(2);
    CHECK(steer::spare_foreign_slots(world, usage, start) == std::vector<std::uint32_t>{8});
    usage[0].in_flight = 9;
    CHECK(steer::spare_foreign_slots(world, usage, start) == std::vector<std::uint32_t>{3});
    world.backend_servers[1].state = view::member_state::leaving;
    CHECK(steer::spare_foreign_slots(world, usage, start) == std::vector<std::uint32_t>{0});
}

} // namespace pistachiohub
