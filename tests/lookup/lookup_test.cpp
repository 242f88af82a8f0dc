#include "plugins/lookup/lookup.hpp"

#include "libraries/view/client_table.hpp"
#include "plugins/membership/order_table.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

namespace pistachiohub
{

namespace
{

/// Regions "a" and "b" with two failure domains each. All hosts are live and named after their
/// domain.
view::world_view make_world(std::size_t hosts_in_domain)
{
    configuration::configuration document;
    document.failure_domains = {{"a-1", "a", 1}, {"a-2", "a", 1}, {"b-1", "b", 1}, {"b-2", "b", 1}};
    document.services.emplace_back().name = "balance";
    document.services.emplace_back().name = "local";
    document.services[1].steering_policy.regions = {"a"};
    document.client_blocks = {{0x0a000000, 8, "a-1"}, {0x0b000000, 8, "b-2"}};
    view::world_view world;
    world.own_failure_domain = 0;
    for (view::index domain = 0; domain < 4; ++domain)
    {
        for (std::size_t number = 0; number < hosts_in_domain; ++number)
        {
            auto& host = world.entry_hosts.emplace_back();
            host.name = document.failure_domains[domain].name + "-h" + std::to_string(number);
            host.failure_domain = domain;
            host.state = view::member_state::live;
            host.caller_port = 1;
            host.incarnation = 1;
        }
    }
    world.client_blocks = std::make_shared<view::client_table const>(
        view::make_client_table(document.client_blocks, document.failure_domains));
    world.configuration = std::make_shared<configuration::configuration const>(document);
    return world;
}

void set_orders(view::world_view& world)
{
    auto tables = membership::make_order_tables(*world.configuration, world.entry_hosts);
    world.entry_host_order = std::move(tables.entry_host_order);
    world.entry_host_order_starts = std::move(tables.entry_host_order_starts);
}

} // namespace

// A caller whose list repeats a host, contains a dead one or begins with a distant one is served
// late.
TEST_CASE("find_entry_hosts_any_fleet_is_live_distinct_and_nearest_first", "[lookup]")
{
    rc::prop("hosts are live, distinct and ordered by distance",
             []()
             {
                 auto world = make_world(*rc::gen::inRange<std::size_t>(0, 13));
                 std::size_t live = 0;
                 for (auto& host : world.entry_hosts)
                 {
                     host.state = *rc::gen::element(view::member_state::live,
                                                    view::member_state::leaving,
                                                    view::member_state::silent);
                     live += host.state == view::member_state::live ? 1 : 0;
                 }
                 set_orders(world);
                 auto const spread = *rc::gen::arbitrary<std::uint64_t>();
                 auto const hosts = lookup::find_entry_hosts(world, 0, 0x0b000001, spread);
                 RC_ASSERT(hosts.size() == std::min(live, lookup::max_entry_hosts));
                 std::set<view::index> distinct;
                 int last_distance = 0;
                 for (auto const position : hosts)
                 {
                     auto const& host = world.entry_hosts[position];
                     RC_ASSERT(host.state == view::member_state::live);
                     RC_ASSERT(distinct.insert(position).second);
                     auto const domain = host.failure_domain;
                     auto const distance = domain == 3 ? 0 : (domain == 2 ? 1 : 2);
                     RC_ASSERT(distance >= last_distance);
                     last_distance = distance;
                 }
             });
}

// Each entry host may use only its share of the slots, so callers must be distributed over all
// hosts.
TEST_CASE("find_entry_hosts_counter_spreads_first_hosts_evenly", "[lookup]")
{
    auto const hosts_in_domain = GENERATE(std::size_t{2}, std::size_t{3}, std::size_t{12});
    auto world = make_world(hosts_in_domain);
    set_orders(world);
    std::map<view::index, std::size_t> counts;
    for (std::uint64_t number = 0; number < 10 * hosts_in_domain; ++number)
        ++counts[lookup::find_entry_hosts(world, 0, std::nullopt, number).front()];
    CHECK(counts.size() == hosts_in_domain);
    for (auto const& [host, count] : counts)
        CHECK(count == 10);
}

TEST_CASE("find_entry_hosts_region_outside_policy_is_left_out", "[lookup]")
{
    auto world = make_world(1);
    set_orders(world);
    CHECK(lookup::find_entry_hosts(world, 1, 0x0a000001).size() == 2);
    CHECK(lookup::find_entry_hosts(world, 0, 0x0a000001).size() == 4);
    CHECK(lookup::find_entry_hosts(world, 2, 0x0a000001).empty());
    // A client whose address is in no client block is served by this daemon's own failure domain.
    auto const hosts = lookup::find_entry_hosts(world, 0, 0x01020304);
    CHECK(world.entry_hosts[hosts.front()].failure_domain == 0);
}

} // namespace pistachiohub
