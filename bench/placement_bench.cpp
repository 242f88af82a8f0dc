#include "plugins/gateway/affinity.hpp"
#include "plugins/gateway/server_choice.hpp"

#include <benchmark/benchmark.h>

#include <array>
#include <string>

namespace pistachiohub::bench
{

namespace
{

kernel::monotonic_time const start{std::chrono::hours(1)};

gateway::server_table make_table(std::int64_t servers)
{
    gateway::server_table table;
    table.own_domain = "a-0";
    table.own_region = "a";
    table.region_of_domain = {{"a-0", "a"}, {"a-1", "a"}, {"b-0", "b"}};
    constexpr std::array<char const*, 3> domains{"a-0", "a-1", "b-0"};
    events::store_update<fleet::backend_server> update{true, 1, {}};
    for (std::int64_t number = 0; number < servers; ++number)
    {
        fleet::backend_server server;
        server.id = "i-" + std::to_string(number);
        server.service = "s";
        server.failure_domain = domains.at(static_cast<std::size_t>(number) % domains.size());
        server.slots = 4U << (number % 3);
        update.changes.push_back({server.id, 1, server});
    }
    gateway::apply(table, update, start);
    return table;
}

// One choice for an object, as each request with affinity makes it. Half of the objects of the
// region are placed outside, so that all servers are ranked.
void choose_for_object(benchmark::State& state)
{
    auto const table = make_table(state.range(0));
    routing::route const route;
    gateway::gateway_request request;
    request.service = "s";
    request.route = &route;
    gateway::choice_input input;
    input.now = start;
    input.is_stable = state.range(1) != 0;
    input.spill.region_fraction = 0.5;
    std::uint64_t object = 0;
    while (state.KeepRunning())
    {
        request.affinity_key = ++object;
        auto const chosen = gateway::choose_server(table,
                                                   request,
                                                   input,
                                                   [](gateway::known_server&)
                                                   {
                                                       return true;
                                                   });
        benchmark::DoNotOptimize(chosen.server.get());
    }
}

BENCHMARK(choose_for_object)
    ->ArgsProduct({{12, 146, 5400}, {0, 1}})
    ->ArgNames({"servers", "stable"})
    ->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace pistachiohub::bench
