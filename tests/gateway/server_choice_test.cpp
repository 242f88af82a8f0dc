#include "plugins/gateway/affinity.hpp"
#include "plugins/gateway/server_choice.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

kernel::monotonic_time const start{std::chrono::hours(1)};

/// The servers of one region as a daemon in one of its failure domains sees them.
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

std::string choose(gateway::server_table const& table, int object)
{
    static routing::route const route;
    gateway::gateway_request request;
    request.service = "s";
    request.route = &route;
    request.affinity_key = gateway::hash_text(std::to_string(object));
    gateway::choice_input input;
    input.now = start;
    auto const chosen = gateway::choose_server(table,
                                               request,
                                               input,
                                               [](gateway::known_server&)
                                               {
                                                   return true;
                                               });
    return chosen.server ? chosen.server->record.id : "";
}

} // namespace

// Load pattern: all objects are new to all servers at the start of a day, and callers of each
// failure domain of a region ask for the same ones. Each copy of an object costs a slow run of its
// own.
TEST_CASE("server_choice_of_one_object_is_the_same_in_the_region", "[gateway]")
{
    auto const here = make_table("sve-a");
    auto const there = make_table("sve-b");
    for (int object = 0; object < 100; ++object)
    {
        auto const server = choose(here, object);
        CHECK(server == choose(there, object));
        CHECK(server.starts_with("sve-"));
    }
}

} // namespace pistachiohub
