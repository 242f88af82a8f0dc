#include "plugins/gateway/affinity.hpp"
#include "plugins/gateway/server_choice.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

kernel::monotonic_time const start{std::chrono::hours(1)};

/// Returns a table of servers of two regions, as a daemon in the failure domain `own_domain` of the
/// first one sees them.
gateway::server_table make_table(std::string const& own_domain)
{
    gateway::server_table table;
    table.own_domain = own_domain;
    table.own_region = "svealand";
    table.region_of_domain = {{"sve-a", "svealand"}, {"sve-b", "svealand"}, {"got-a", "gotaland"}};
    events::store_update<fleet::backend_server> update{true, 1, {}};
    for (auto const* const domain : {"sve-a", "sve-b", "got-a"})
    {
        for (int number = 0; number < 4; ++number)
        {
            fleet::backend_server server;
            server.id = std::string(domain) + '-' + std::to_string(number);
            server.service = "s";
            server.failure_domain = domain;
            server.slots = 4;
            update.changes.push_back({server.id, 1, server});
        }
    }
    gateway::apply(table, update, start);
    return table;
}

/// Returns the choice for a request of the object.
gateway::server_choice
choose(gateway::server_table const& table, std::uint64_t object, gateway::choice_input input)
{
    static routing::route const route;
    gateway::gateway_request request;
    request.service = "s";
    request.route = &route;
    request.affinity_key = object;
    input.now = start;
    return gateway::choose_server(table,
                                  request,
                                  input,
                                  [](gateway::known_server&)
                                  {
                                      return true;
                                  });
}

/// Returns the id of the server that is chosen for a request of the object, empty if there is none.
std::string choose(gateway::server_table const& table, int object)
{
    auto const chosen = choose(table, gateway::hash_text(std::to_string(object)), {});
    return chosen.server ? chosen.server->record.id : "";
}

/// The servers of one object, which have four slots each.
class server_choice_fixture
{
protected:
    static constexpr std::uint64_t object = 7;
    gateway::server_table m_table = make_table("sve-a");
    gateway::choice_input m_input;
    gateway::server_pointer m_first;
    gateway::server_pointer m_second;

    server_choice_fixture()
    {
        m_input.queue_per_slot = 0.25;
        m_input.may_leave_domain = true;
        m_first = choose(m_table, object, m_input).server;
        m_first->own_in_flight = 100;
        m_second = choose(m_table, object, m_input).server;
        m_first->own_in_flight = 0;
    }

    gateway::server_pointer chosen(std::uint32_t at_first, std::uint32_t at_second)
    {
        m_first->own_in_flight = at_first;
        m_second->own_in_flight = at_second;
        return choose(m_table, object, m_input).server;
    }
};

} // namespace

// Load pattern: at the start of a day no server has any object cached, and callers of each failure
// domain of a region request the same objects. Daemons that chose different servers for an object
// would cause one slow run for each copy.
TEST_CASE("server_choice_for_an_object_is_the_same_for_all_daemons_of_a_region", "[gateway]")
{
    auto const first_daemon = make_table("sve-a");
    auto const second_daemon = make_table("sve-b");
    for (int object = 0; object < 100; ++object)
    {
        auto const server = choose(first_daemon, object);
        CHECK(server == choose(second_daemon, object));
        CHECK(server.starts_with("sve-"));
    }
}

/// Returns the choice for a request without an object.
gateway::server_choice choose_any(gateway::server_table const& table)
{
    static routing::route const route;
    gateway::gateway_request request;
    request.service = "s";
    request.route = &route;
    gateway::choice_input input;
    input.run_seconds = 0.1;
    input.now = start;
    return gateway::choose_server(table,
                                  request,
                                  input,
                                  [](gateway::known_server&)
                                  {
                                      return true;
                                  });
}

// Load pattern: the machines of some servers are disturbed. Requests that find a free slot there
// finish later than at a fuller server.
TEST_CASE("server_choice_prefers_the_earlier_finish_to_the_lower_load", "[gateway]")
{
    auto const table = make_table("sve-a");
    for (auto const& [id, server] : table.servers)
        gateway::record_load(*server, {0, 0, 4, 300}, start);
    gateway::record_load(*table.servers.at("sve-a-2"), {3, 0, 4, 100}, start);
    CHECK(choose_any(table).server->record.id == "sve-a-2");
    // Equal machines share the load.
    gateway::record_load(*table.servers.at("sve-a-1"), {1, 0, 4, 102}, start);
    CHECK(choose_any(table).server->record.id == "sve-a-1");
}

// Load pattern: no server has room. All requests that waited for the first server of the list were
// predicted to start later than they could, and refused.
TEST_CASE("server_choice_without_room_prefers_the_earliest_start", "[gateway]")
{
    auto const table = make_table("sve-a");
    for (auto const& [id, server] : table.servers)
        gateway::record_load(*server, {4, 4, 4, 100}, start);
    gateway::record_load(*table.servers.at("sve-a-3"), {4, 1, 4, 100}, start);
    CHECK(choose_any(table).preferred->record.id == "sve-a-3");
    table.servers.at("sve-a-3")->own_queued = 8;
    CHECK(choose_any(table).preferred->record.id != "sve-a-3");
}

// Guards against earlier deployments that are served otherwise than before.
TEST_CASE_METHOD(server_choice_fixture,
                 "server_choice_by_load_ignores_weights_and_fills_queues_alike",
                 "[gateway]")
{
    m_first->weight.factor = 0;
    CHECK(chosen(4, 0) == m_first);
    CHECK(chosen(5, 0) == m_second);
    CHECK(chosen(5, 4) == m_second);
    CHECK(chosen(5, 5) == nullptr);
}

// Load pattern: the first server is full for a moment. Guards against overflow that queues at the
// second server and displaces its objects, and against a queue at the first one without bound.
TEST_CASE_METHOD(server_choice_fixture,
                 "server_choice_stable_overflows_only_to_a_free_slot",
                 "[gateway]")
{
    m_input.is_stable = true;
    CHECK(chosen(5, 0) == m_first);
    CHECK(chosen(6, 3) == m_second);
    CHECK(chosen(6, 4) == nullptr);
    m_input.is_last_resort = true;
    CHECK(chosen(6, 4) == m_second);
    m_input.is_last_resort = false;
    m_input.queue_per_slot = 1;
    CHECK(chosen(7, 4) == m_first);
    CHECK(chosen(8, 4) == nullptr);
}

// Guards against a cold first server, which refuses most requests, that leaves the second one
// without its queue.
TEST_CASE_METHOD(server_choice_fixture,
                 "server_choice_stable_second_server_queues_while_the_first_is_cold",
                 "[gateway]")
{
    m_input.is_stable = true;
    m_first->cold_until = start + std::chrono::seconds(1);
    CHECK(chosen(8, 4) == m_second);
}

// Guards against weights that move the object of a server whose weight stays.
TEST_CASE_METHOD(server_choice_fixture,
                 "server_choice_stable_lower_weight_only_takes_objects_away",
                 "[gateway]")
{
    m_input.is_stable = true;
    auto const choose_all = [this]()
    {
        std::vector<gateway::server_pointer> servers;
        for (std::uint64_t number = 0; number < 400; ++number)
            servers.push_back(choose(m_table, number, m_input).server);
        return servers;
    };
    auto const before = choose_all();
    m_first->weight.factor = 0.8;
    auto const later = choose_all();
    std::size_t moved = 0;
    for (std::size_t number = 0; number < before.size(); ++number)
    {
        CHECK((before[number] == later[number] || before[number] == m_first));
        moved += before[number] != later[number] ? 1 : 0;
    }
    CHECK(moved > 0);
}

} // namespace pistachiohub
