#include "libraries/view/client_table.hpp"
#include "plugins/lookup/lookup.hpp"
#include "tests/membership/fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace pistachiohub
{

namespace
{

using namespace std::chrono_literals;
using testing::fleet;
using view::member_state;

std::vector<std::string> const domains{"a-1", "a-2", "b-1", "b-2", "c-1", "c-2"};

std::uint32_t total_share(fleet& hosts, std::string const& domain)
{
    std::uint32_t sum = 0;
    for (auto const& name : hosts.names())
    {
        auto const& daemon = hosts.at(name);
        if (daemon.is_running && daemon.settings.failure_domain == domain)
            sum += daemon.world->backend_servers.at(0).slot_share;
    }
    return sum;
}

std::set<std::string> told_hosts(fleet& hosts, std::string const& observer)
{
    auto const& world = *hosts.at(observer).world;
    std::set<std::string> names;
    for (auto const host : lookup::find_entry_hosts(world, 0, std::nullopt))
        names.insert(world.entry_hosts[host].name);
    return names;
}

std::size_t count_notices(membership::control_state& state, std::string_view event)
{
    auto const notices = state.take_notices();
    return static_cast<std::size_t>(std::count_if(notices.begin(),
                                                  notices.end(),
                                                  [event](membership::notice const& entry)
                                                  {
                                                      return entry.event == event;
                                                  }));
}

std::vector<std::string> find_readers(fleet& hosts, std::string const& domain, bool is_reader)
{
    std::vector<std::string> names;
    for (auto const& name : hosts.names())
    {
        auto const& daemon = hosts.at(name);
        if (daemon.settings.failure_domain == domain && daemon.state->is_reader() == is_reader)
            names.push_back(name);
    }
    return names;
}

member_state server_state(fleet& hosts, std::string const& observer, std::string const& server)
{
    auto const& servers = hosts.at(observer).world->backend_servers;
    auto const found = std::find_if(servers.begin(),
                                    servers.end(),
                                    [&server](auto const& candidate)
                                    {
                                        return candidate.name == server;
                                    });
    REQUIRE(found != servers.end());
    return found->state;
}

} // namespace

// A killed daemon's slots must pass to its siblings, and callers must not be sent to it.
TEST_CASE("control_state_killed_host_is_silent_after_three_seconds", "[membership]")
{
    auto const seed = GENERATE(range(1, 6));
    fleet hosts(domains, 2, static_cast<std::uint64_t>(seed));
    hosts.publish_configuration("a-1-h1", 1);
    hosts.advance(3s);
    for (auto const& observer : hosts.names())
    {
        for (auto const& host : hosts.names())
            CHECK(hosts.state(observer, host) == member_state::live);
    }
    CHECK(total_share(hosts, "a-1") == 9);
    hosts.kill("a-1-h2");
    hosts.advance(2400ms);
    CHECK(hosts.state("a-1-h1", "a-1-h2") == member_state::live);
    hosts.advance(1200ms);
    CHECK(hosts.state("a-1-h1", "a-1-h2") == member_state::silent);
    CHECK(hosts.state("b-1-h1", "a-1-h2") == member_state::silent);
    CHECK(total_share(hosts, "a-1") == 9);
    CHECK(told_hosts(hosts, "a-1-h1").contains("a-1-h2") == false);
}

// Identifiers name the incarnation, so an old one must not come back in a lookup.
TEST_CASE("control_state_restarted_host_replaces_incarnation", "[membership]")
{
    fleet hosts(domains, 1, 3);
    hosts.advance(2s);
    auto const known_incarnation = [&hosts]()
    {
        auto const& world = *hosts.at("c-1-h1").world;
        return world.entry_hosts[view::find_entry_host(world, "a-2-h1")].incarnation;
    };
    auto const old_incarnation = hosts.at("a-2-h1").incarnation;
    CHECK(known_incarnation() == old_incarnation);
    hosts.start("a-2-h1");
    hosts.advance(1s);
    auto const new_incarnation = hosts.at("a-2-h1").incarnation;
    CHECK(known_incarnation() == new_incarnation);
    auto& state = *hosts.at("c-1-h1").state;
    std::ignore = state.take_notices();
    state.handle(events::peer_heard{"a-2-h1", old_incarnation, 0, messages::heartbeat{}},
                 hosts.now());
    CHECK(count_notices(state, "old_incarnation_heard") == 1);
    hosts.advance(200ms);
    CHECK(known_incarnation() == new_incarnation);
}

// A frozen daemon that wakes reads heartbeats that were queued during its pause; their credits are
// as old as the pause.
TEST_CASE("control_state_woken_host_takes_no_queued_credits", "[membership]")
{
    auto const seed = GENERATE(range(1, 6));
    fleet hosts(domains, 2, static_cast<std::uint64_t>(seed));
    hosts.publish_configuration("a-1-h1", 1);
    hosts.advance(2s);
    auto& woken = hosts.at("a-1-h2");
    auto const advance_with_offers = [&hosts](int steps)
    {
        events::usage_report report;
        report.credits = {{"balance", 100}};
        for (int step = 0; step < steps; ++step)
        {
            hosts.at("b-1-h1").state->handle(report, hosts.now());
            hosts.advance(100ms);
        }
    };
    auto const has_credit = [&woken]()
    {
        auto const& world = *woken.world;
        return !world.entry_hosts[view::find_entry_host(world, "b-1-h1")].credits.empty();
    };
    advance_with_offers(10);
    CHECK(has_credit());
    woken.is_frozen = true;
    advance_with_offers(100);
    CHECK(hosts.state("a-1-h1", "a-1-h2") == member_state::silent);
    hosts.kill("b-1-h1");
    woken.is_frozen = false;
    hosts.advance(25ms);
    CHECK(count_notices(*woken.state, "pause_detected") == 1);
    hosts.advance(100ms);
    CHECK_FALSE(has_credit());
    hosts.advance(1s);
    CHECK(hosts.state("a-1-h1", "a-1-h2") == member_state::live);
    CHECK(hosts.state("a-1-h2", "a-1-h1") == member_state::live);
    CHECK(total_share(hosts, "a-1") == 9);
}

// After a pause shorter than the silence limit, states look fresh but are not. Taking the slots of
// hosts that are about to be heard would overload the backend servers.
TEST_CASE("control_state_woken_host_drops_states_and_keeps_its_share", "[membership]")
{
    fleet hosts(domains, 2, 13);
    hosts.publish_configuration("a-1-h1", 1);
    hosts.advance(2s);
    auto& woken = hosts.at("a-1-h2");
    auto const share = woken.world->backend_servers.at(0).slot_share;
    hosts.is_connected = [](std::string const&, std::string const& recipient)
    {
        return recipient != "a-1-h2";
    };
    woken.is_frozen = true;
    hosts.advance(1500ms);
    woken.is_frozen = false;
    hosts.advance(200ms);
    CHECK(hosts.state("a-1-h2", "a-1-h1") == member_state::silent);
    CHECK(woken.world->backend_servers.at(0).slot_share == share);
    hosts.advance(4s);
    CHECK(woken.world->backend_servers.at(0).slot_share == 9);
}

// Messages of an old incarnation may arrive late, directly or forwarded.
TEST_CASE("apply_heard_old_incarnation_changes_nothing", "[membership]")
{
    kernel::monotonic_time const start{1h};
    membership::member_table table;
    membership::add_seeds(table, {{"peer", "a-1", "10.0.0.1", 2}}, start);
    messages::heartbeat beat;
    beat.epoch = 4;
    using membership::change;
    CHECK(membership::apply_heard(table, {"peer", 9, 1, beat}, start) == change::major);
    CHECK(membership::apply_heard(table, {"peer", 8, 7, beat}, start + 1s) == change::none);
    messages::member_summary summary{"peer", "a-1", 8, 7, true, 0};
    CHECK(membership::apply_summary(table, summary, start + 1s) == change::none);
    auto const& peer = table.members.at(0);
    CHECK((peer.incarnation == 9 && peer.epoch == 4 && peer.heard_at == start));
    summary.incarnation = 9;
    summary.age_ms = 200;
    CHECK(membership::apply_summary(table, summary, start + 1s) == change::major);
    CHECK((peer.is_leaving && peer.epoch == 7 && peer.heard_at == start + 800ms));
}

// I8: versions come from the store, from peers and late; cuts heal.
TEST_CASE("control_state_cut_and_heal_catches_up_and_never_reverts", "[membership]")
{
    auto const seed = GENERATE(range(1, 11));
    fleet hosts(domains, 2, static_cast<std::uint64_t>(seed));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    auto const is_cut_off = [](std::string const& name)
    {
        return name.starts_with("c-1");
    };
    std::uint64_t version = 0;
    hosts.advance(1s);
    hosts.is_connected = [is_cut_off](std::string const& sender, std::string const& recipient)
    {
        return is_cut_off(sender) == is_cut_off(recipient);
    };
    auto const connected = std::vector<std::string>{"a-1-h1", "a-2-h2", "b-1-h1", "b-2-h2"};
    for (int patch = 0; patch < 20; ++patch)
    {
        hosts.publish_configuration(connected[random() % connected.size()], ++version);
        hosts.publish_configuration(connected[random() % connected.size()], 1 + random() % version);
        hosts.advance(1s);
        for (auto const& name : hosts.names())
        {
            auto const expected = is_cut_off(name) ? 0 : version;
            CHECK(hosts.at(name).world->configuration->version == expected);
        }
    }
    CHECK(hosts.state("a-1-h1", "c-1-h1") == member_state::silent);
    hosts.is_connected = [](std::string const&, std::string const&)
    {
        return true;
    };
    hosts.advance(2s);
    for (auto const& name : hosts.names())
    {
        CHECK(hosts.at(name).world->configuration->version == version);
        CHECK_FALSE(hosts.at(name).has_reverted);
    }
    CHECK(hosts.state("a-1-h1", "c-1-h1") == member_state::live);
}

// Above 16 hosts of other domains, only readers talk across domains; every daemon must still learn
// of all hosts and of each configuration within 2 s.
TEST_CASE("control_state_large_fleet_learns_by_summaries", "[membership]")
{
    auto const seed = GENERATE(range(1, 4));
    fleet hosts({"a-1", "a-2", "b-1", "b-2", "c-1", "c-2"}, 4, static_cast<std::uint64_t>(seed));
    hosts.advance(20s);
    for (auto const& observer : hosts.names())
    {
        for (auto const& host : hosts.names())
            CHECK(hosts.state(observer, host) == member_state::live);
    }
    hosts.publish_configuration("b-1-h3", 1);
    hosts.advance(2s);
    for (auto const& name : hosts.names())
        CHECK(hosts.at(name).world->configuration->version == 1);
    for (auto const& name : {"c-1-h1", "c-1-h2", "c-1-h3", "c-1-h4"})
        hosts.kill(name);
    hosts.advance(20s);
    CHECK(hosts.state("a-1-h1", "c-1-h1") == member_state::silent);
    CHECK(hosts.state("b-2-h4", "c-1-h4") == member_state::silent);
    CHECK(hosts.state("b-2-h4", "c-2-h4") == member_state::live);
}

// A lagging list that calls a restarted host dead or leaving must not overrule its heartbeats.
TEST_CASE("control_state_stale_host_list_does_not_overrule_heartbeats", "[membership]")
{
    fleet hosts(domains, 2, 5);
    hosts.advance(2s);
    auto& state = *hosts.at("a-1-h1").state;
    events::host_list_received list;
    list.failure_domain = "a-1";
    list.revision = 2;
    list.entry_hosts.push_back({"a-1-h2", "10.0.0.1", 1, 2, 3, true});
    state.handle(list, hosts.now());
    hosts.advance(200ms);
    CHECK(hosts.state("a-1-h1", "a-1-h2") == member_state::leaving);
    hosts.start("a-1-h2");
    hosts.advance(1s);
    CHECK(hosts.state("a-1-h1", "a-1-h2") == member_state::live);
    list.entry_hosts.clear();
    state.handle(list, hosts.now());
    hosts.advance(10s);
    CHECK(hosts.state("a-1-h1", "a-1-h2") == member_state::live);
}

// Without readers in a domain, nobody there learns of a new configuration or host list.
TEST_CASE("control_state_lost_readers_are_replaced", "[membership]")
{
    fleet hosts({"a-1", "b-1"}, 5, 7);
    hosts.advance(8s);
    auto const readers = [&hosts]()
    {
        std::vector<std::string> names;
        for (auto const& name : hosts.names())
        {
            auto const& daemon = hosts.at(name);
            bool const is_own = daemon.settings.failure_domain == "a-1";
            if (is_own && daemon.is_running && daemon.state->is_reader())
                names.push_back(name);
        }
        return names;
    };
    auto const before = readers();
    CHECK(before.size() == 2);
    for (auto const& name : before)
        hosts.kill(name);
    hosts.advance(8s);
    CHECK(readers().size() == 2);
}

TEST_CASE("control_state_draining_host_leaves_lookups_at_once", "[membership]")
{
    fleet hosts(domains, 2, 9);
    hosts.publish_configuration("a-1-h1", 1);
    hosts.advance(2s);
    CHECK(told_hosts(hosts, "a-1-h1").contains("a-1-h2"));
    hosts.at("a-1-h2").is_draining = true;
    hosts.advance(300ms);
    CHECK(hosts.state("a-1-h1", "a-1-h2") == member_state::leaving);
    CHECK_FALSE(told_hosts(hosts, "a-1-h1").contains("a-1-h2"));
    CHECK_FALSE(told_hosts(hosts, "a-1-h2").contains("a-1-h2"));
}

// Tables that are kept over publications must follow every change that concerns them.
TEST_CASE("control_state_changed_configuration_updates_derived_tables", "[membership]")
{
    kernel::settings settings;
    settings.name = "own";
    settings.failure_domain = "a-1";
    settings.caller_port = 1;
    kernel::monotonic_time const start{1h};
    membership::control_state state(settings, 1, 0, start);
    configuration::configuration document;
    auto const publish = [&]()
    {
        ++document.version;
        state.handle(
            events::configuration_received{
                std::make_shared<configuration::configuration const>(document),
                std::make_shared<std::string const>("{}")},
            start);
        return state.take_view(start);
    };
    events::host_list_received list;
    list.failure_domain = "a-1";
    list.backend_servers = {{"server", "10.0.0.1", 80, "balance", false}};
    state.handle(list, start);
    document.failure_domains = {{"a-1", "a", 1}};
    document.services.emplace_back().name = "balance";
    CHECK(publish()->backend_servers.at(0).slot_share == 1);
    document.services[0].slots = 6;
    CHECK(publish()->backend_servers.at(0).slot_share == 6);
    document.client_blocks = {{0x0a000000, 8, "a-1"}};
    CHECK(view::find_client(*publish()->client_blocks, 0x0a010101) == 0);
    document.services.emplace_back().name = "title";
    document.failure_domains.insert(document.failure_domains.begin(), {"b-1", "b", 1});
    auto const world = publish();
    CHECK(view::find_client(*world->client_blocks, 0x0a010101) == 1);
    CHECK(world->own_failure_domain == 1);
    CHECK(lookup::find_entry_hosts(*world, 1, std::nullopt).size() == 1);
    list.backend_servers.push_back({"other", "10.0.0.2", 80, "title", false});
    state.handle(list, start);
    auto const later = state.take_view(start + membership::publish_interval);
    REQUIRE(later);
    CHECK(later->backend_servers.at(1).slot_share == 1);
}

// In a quiet fleet every publication makes all threads reload their view for nothing.
TEST_CASE("control_state_quiet_fleet_publishes_rarely", "[membership]")
{
    fleet hosts(domains, 2, 11);
    hosts.advance(5s);
    auto const before = hosts.at("a-1-h1").publications;
    hosts.advance(30s);
    CHECK(hosts.at("a-1-h1").publications - before <= 3);
}

// A daemon that does not read the store would keep sending requests to a leaving server.
TEST_CASE("control_state_non_reader_learns_of_leaving_server_in_two_seconds", "[membership]")
{
    auto const seed = GENERATE(range(1, 11));
    fleet hosts({"a-1", "b-1"}, 4, static_cast<std::uint64_t>(seed));
    hosts.advance(8s);
    auto const readers = find_readers(hosts, "a-1", true);
    auto const others = find_readers(hosts, "a-1", false);
    REQUIRE(readers.size() == 2);
    REQUIRE(others.size() == 2);
    hosts.list_leaving("a-1-s1");
    for (auto const& name : readers)
        hosts.poll_store(name, "a-1");
    hosts.advance(2s);
    for (auto const& name : others)
    {
        CHECK(hosts.at(name).store_polls == 1);
        CHECK(server_state(hosts, name, "a-1-s1") == member_state::leaving);
        CHECK(server_state(hosts, name, "a-1-s2") == member_state::live);
    }
}

// A non-reader that missed the readers' message would keep the old list for ever.
TEST_CASE("control_state_non_reader_catches_up_with_list_after_cut", "[membership]")
{
    auto const seed = GENERATE(range(1, 11));
    fleet hosts({"a-1", "b-1"}, 3, static_cast<std::uint64_t>(seed));
    hosts.advance(8s);
    auto const readers = find_readers(hosts, "a-1", true);
    REQUIRE(readers.size() == 2);
    auto const other = find_readers(hosts, "a-1", false).at(0);
    hosts.is_connected = [&other, &readers](std::string const& sender, std::string const& recipient)
    {
        auto const is_reader = [&readers](std::string const& name)
        {
            return std::find(readers.begin(), readers.end(), name) != readers.end();
        };
        return !(sender == other && is_reader(recipient)) &&
               !(recipient == other && is_reader(sender));
    };
    hosts.list_leaving("a-1-s1");
    for (auto const& name : readers)
        hosts.poll_store(name, "a-1");
    hosts.advance(2s);
    CHECK(server_state(hosts, other, "a-1-s1") == member_state::live);
    hosts.is_connected = [](std::string const&, std::string const&)
    {
        return true;
    };
    hosts.advance(2s);
    CHECK(server_state(hosts, other, "a-1-s1") == member_state::leaving);
    CHECK(hosts.at(other).store_polls == 1);
}

// Polls without changes raise the revision, which must cost one exchange and no more.
TEST_CASE("control_state_unchanged_list_is_not_asked_for_again", "[membership]")
{
    fleet hosts({"a-1", "b-1"}, 3, 3);
    hosts.advance(8s);
    auto& other = hosts.at(find_readers(hosts, "a-1", false).at(0));
    auto const before = other.list_requests_sent;
    hosts.list_leaving("c-1-s1");
    for (auto const& name : find_readers(hosts, "a-1", true))
        hosts.poll_store(name);
    hosts.advance(10s);
    auto const requests = other.list_requests_sent - before;
    CHECK(requests >= 1);
    CHECK(requests <= 2);
}

// Lists reach a daemon by several ways and in any order; a late one must not bring back a server.
TEST_CASE("control_state_older_list_never_replaces_newer", "[membership]")
{
    fleet hosts({"a-1"}, 3, 4);
    hosts.advance(2s);
    auto& state = *hosts.at("a-1-h1").state;
    auto const send = [&hosts, &state](std::uint64_t revision, bool is_leaving, bool is_from_store)
    {
        events::host_list_received list{
            "a-1", {}, {{"a-1-s1", "10.0.1.1", 80, "balance", is_leaving}}, revision};
        if (is_from_store)
            state.handle(list, hosts.now());
        else
            state.handle(events::host_list_told{"a-1-h2", membership::make_list_message(list)},
                         hosts.now());
        events::backend_observation answer;
        answer.backend_server = "a-1-s1";
        answer.observed_at = hosts.now() + membership::return_delay;
        state.handle(answer, hosts.now());
        hosts.advance(200ms);
        return server_state(hosts, "a-1-h1", "a-1-s1");
    };
    CHECK(send(20, true, false) == member_state::leaving);
    CHECK(send(19, false, false) == member_state::leaving);
    CHECK(send(19, false, true) == member_state::leaving);
    CHECK(send(21, false, false) == member_state::live);
    CHECK(send(22, true, true) == member_state::leaving);
    CHECK(send(21, false, false) == member_state::leaving);
}

// After a restoration the store counts revisions from an earlier number, and its lists are newer
// than what is held although their revisions are lower.
TEST_CASE("held_host_lists_restored_store_replaces_lists", "[membership]")
{
    membership::held_host_lists held;
    CHECK(membership::accept_list(held, {"a-1", {}, {}, 20}) == membership::list_news::changed);
    membership::apply_poll(held, {true, 20, false});
    events::host_list_received const restored{"a-1", {}, {{"s", "10.0.1.1", 80, "x", false}}, 3};
    CHECK(membership::accept_list(held, restored) == membership::list_news::older);
    membership::apply_poll(held, {true, 3, true});
    CHECK(membership::accept_list(held, restored) == membership::list_news::changed);
}

// A lost message of an answer must be asked for again, not counted as known.
TEST_CASE("apply_answer_with_lost_message_does_not_raise_revision", "[membership]")
{
    membership::held_host_lists sender;
    for (auto const* const domain : {"a-1", "b-1", "c-1"})
        CHECK(membership::accept_list(sender, {domain, {}, {}, 7}) ==
              membership::list_news::changed);
    membership::apply_poll(sender, {true, 9, false});
    auto const answer = membership::make_answer(sender, "b-1", 5);
    REQUIRE(answer.size() == 3);
    CHECK(answer[0].failure_domain == "b-1");
    for (std::size_t lost = 0; lost <= answer.size(); ++lost)
    {
        membership::held_host_lists receiver;
        for (std::size_t position = 0; position < answer.size(); ++position)
        {
            if (position != lost)
                membership::apply_answer(receiver, "peer", answer[position]);
        }
        CHECK(receiver.revision == (lost == answer.size() ? 9 : 0));
    }
    CHECK(membership::make_answer(sender, "b-1", 8).size() == 1);
    CHECK(membership::make_answer(sender, "b-1", 9).empty());
}

// Until callers and peers hold an epoch after the fenced one, all at-most-once work is refused. An
// epoch that decreased would lead to ids of the fenced one again.
TEST_CASE("control_state_fenced_epoch_raises_own_epoch_at_once", "[membership]")
{
    kernel::settings settings;
    settings.name = "own";
    settings.failure_domain = "a-1";
    settings.seed_peers = {{"seed", "b-1", "10.0.0.9", 7}};
    kernel::monotonic_time now{1h};
    membership::control_state state(settings, 1, 0, now);
    REQUIRE(state.take_view(now));
    state.tick(false, now);
    std::ignore = state.take_commands();
    now += membership::publish_interval;
    state.handle(events::epoch_fenced{2}, now);
    auto const world = state.take_view(now);
    REQUIRE(world);
    CHECK(world->own_epoch == 3);
    auto const commands = state.take_commands();
    REQUIRE(commands.size() == 1);
    CHECK(std::get<messages::heartbeat>(commands[0].content).epoch == 3);
    auto const epoch_after = [&](kernel::duration time)
    {
        now += time;
        state.tick(false, now);
        now += membership::publish_interval;
        state.handle(events::usage_report{}, now);
        auto const later = state.take_view(now);
        return later ? later->own_epoch : 0;
    };
    CHECK(epoch_after(2min) == 3);
    state.handle(events::epoch_fenced{1}, now);
    CHECK(epoch_after(90s) == 3);
    CHECK(epoch_after(1min) == 4);
    state.handle(events::epoch_fenced{3}, now);
    state.handle(events::epoch_fenced{0xffffffff}, now);
    CHECK(epoch_after(10s) == 4);
    state.handle(events::epoch_fenced{4}, now);
    CHECK(epoch_after(10s) == 5);
}

// Seed peers are the only way to a configuration while the store is down.
TEST_CASE("control_state_seed_peer_is_known_before_host_list", "[membership]")
{
    kernel::settings settings;
    settings.name = "own";
    settings.failure_domain = "a-1";
    settings.seed_peers = {{"seed", "b-1", "10.0.0.9", 7}};
    kernel::monotonic_time const start{1h};
    membership::control_state state(settings, 1, 0, start);
    auto const world = state.take_view(start);
    REQUIRE(world);
    CHECK(world->configuration->version == 0);
    auto const position = view::find_entry_host(*world, "seed");
    REQUIRE(position != view::no_index);
    CHECK(world->entry_hosts[position].peer_port == 7);
    state.tick(false, start);
    CHECK(state.take_commands().size() == 1);
    state.handle(events::peer_heard{"seed", 5, 3, std::nullopt}, start);
    auto const commands = state.take_commands();
    REQUIRE(commands.size() == 1);
    CHECK(std::holds_alternative<messages::configuration_request>(commands[0].content));
}

} // namespace pistachiohub
