#include "bench/allocation_count.hpp"
#include "bench/fleet_data.hpp"
#include "plugins/lookup/lookup.hpp"
#include "plugins/steer/destination.hpp"

#include <benchmark/benchmark.h>

#include <random>
#include <vector>

namespace pistachiohub::bench
{

namespace
{

using namespace std::chrono_literals;

// Enough random addresses that the searched parts of the table do not all stay in the first cache.
constexpr std::size_t address_count = 65536;

kernel::monotonic_time const start{1h};

std::vector<std::uint32_t> make_addresses(std::size_t blocks)
{
    std::mt19937 random(7);
    std::vector<std::uint32_t> addresses(address_count);
    for (auto& address : addresses)
        address = static_cast<std::uint32_t>(random() % blocks) << 8U | (random() & 0xffU);
    return addresses;
}

void look_up(benchmark::State& state)
{
    fleet_size size;
    size.client_blocks = static_cast<std::size_t>(state.range(0));
    auto control = make_control_state(size, start);
    auto const world = control.take_view(start);
    auto const addresses = make_addresses(size.client_blocks);
    std::size_t number = 0;
    std::size_t found = 0;
    auto const before = allocation_count();
    while (state.KeepRunning())
    {
        auto const service = static_cast<view::index>(number % size.services);
        auto const hosts =
            lookup::find_entry_hosts(*world, service, addresses[number % address_count], number);
        found += hosts.size();
        benchmark::DoNotOptimize(hosts.data());
        ++number;
    }
    state.counters["allocations"] = static_cast<double>(allocation_count() - before);
    state.counters["hosts_each"] = static_cast<double>(found) / static_cast<double>(number);
}

BENCHMARK(look_up)->Arg(1000)->Arg(10000)->Arg(110000);

fleet_size size_of(std::int64_t hosts)
{
    fleet_size size;
    if (hosts > 54)
        return size;
    size.failure_domains = 1;
    size.regions = 1;
    return size;
}

/// A heartbeat of a sibling with credits, as a sender in another domain would grant them.
events::control_event make_heartbeat(std::size_t domain, std::uint32_t slots)
{
    messages::heartbeat beat;
    beat.credits = {{"service-1", slots}, {"service-2", slots}};
    return events::peer_heard{host_name(domain, 1), first_incarnation, 1, std::move(beat)};
}

// Most publications change credits or loads only.
void publish_after_heartbeat(benchmark::State& state)
{
    auto const size = size_of(state.range(0));
    auto control = make_control_state(size, start);
    auto now = start;
    std::ignore = control.take_view(now);
    while (state.KeepRunning())
    {
        now += membership::publish_interval;
        control.handle(make_heartbeat(size.failure_domains - 1, 3), now);
        auto const world = control.take_view(now);
        if (!world)
            state.SkipWithError("no view was due");
    }
}

BENCHMARK(publish_after_heartbeat)->Arg(54)->Arg(8000)->Unit(benchmark::kMicrosecond);

// A changed host state rebuilds the entry host orders.
void publish_after_state_change(benchmark::State& state)
{
    auto const size = size_of(state.range(0));
    auto control = make_control_state(size, start);
    auto now = start;
    std::ignore = control.take_view(now);
    std::uint64_t incarnation = first_incarnation;
    while (state.KeepRunning())
    {
        now += membership::publish_interval;
        control.handle(events::peer_heard{host_name(0, 1), ++incarnation, 1, std::nullopt}, now);
        auto const world = control.take_view(now);
        if (!world)
            state.SkipWithError("no view was due");
    }
}

BENCHMARK(publish_after_state_change)->Arg(54)->Arg(8000)->Unit(benchmark::kMicrosecond);

// A patch that changes a policy's numbers, the usual case of 57,000 changes a day.
void apply_configuration(benchmark::State& state)
{
    auto const size = size_of(state.range(0));
    auto control = make_control_state(size, start);
    auto const text = std::make_shared<std::string const>("{}");
    auto document = *make_configuration(size);
    std::ignore = control.take_view(start);
    while (state.KeepRunning())
    {
        state.PauseTiming();
        ++document.version;
        document.services[0].steering_policy.shift_cap = 0.1;
        auto const received = std::make_shared<configuration::configuration const>(document);
        state.ResumeTiming();
        control.handle(events::configuration_received{received, text}, start);
        benchmark::DoNotOptimize(control.take_view(start));
    }
}

BENCHMARK(apply_configuration)->Arg(54)->Arg(8000)->Unit(benchmark::kMicrosecond);

void handle_heartbeat(benchmark::State& state)
{
    auto const size = size_of(state.range(0));
    auto control = make_control_state(size, start);
    auto now = start;
    while (state.KeepRunning())
    {
        now += 1us;
        control.handle(make_heartbeat(size.failure_domains - 1, 3), now);
    }
    std::ignore = control.take_notices();
}

BENCHMARK(handle_heartbeat)->Arg(54)->Arg(8000);

// One second of the control thread without messages: 40 ticks with 10 checks and 2 rounds.
void tick_for_one_second(benchmark::State& state)
{
    auto control = make_control_state(size_of(state.range(0)), start);
    auto now = start;
    while (state.KeepRunning())
    {
        for (int tick = 0; tick < 40; ++tick)
        {
            now += 25ms;
            control.tick(false, now);
        }
        std::ignore = control.take_commands();
        std::ignore = control.take_notices();
    }
}

BENCHMARK(tick_for_one_second)->Arg(54)->Arg(8000)->Unit(benchmark::kMicrosecond);

void choose_destination(benchmark::State& state)
{
    fleet_size size = size_of(54);
    size.services = static_cast<std::size_t>(state.range(0));
    auto control = make_control_state(size, start);
    auto const world = control.take_view(start);
    std::vector<steer::server_usage> const usage(world->backend_servers.size());
    steer::request_facts request;
    request.service = 0;
    std::mt19937_64 random(7);
    auto const before = allocation_count();
    while (state.KeepRunning())
        benchmark::DoNotOptimize(
            steer::choose(*world, usage, {}, request, start, random()).backend_server);
    state.counters["allocations"] = static_cast<double>(allocation_count() - before);
}

BENCHMARK(choose_destination)->Arg(1)->Arg(36);

} // namespace

} // namespace pistachiohub::bench

BENCHMARK_MAIN();
