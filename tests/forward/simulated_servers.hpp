#pragma once

/// @file
/// Simulated time, and backend servers that refuse, crash, stall and cancel at random.

#include "kernel/clock.hpp"
#include "libraries/events/backend_command.hpp"
#include "libraries/events/forward_event.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace pistachiohub::forward_test
{

/// Random draws and delayed calls in simulated time.
struct simulation
{
    explicit simulation(std::uint64_t seed)
        : random(seed)
    {
    }

    std::mt19937_64 random;
    kernel::monotonic_time now = kernel::monotonic_time{} + std::chrono::hours(1);
    std::multimap<kernel::monotonic_time, std::function<void()>> calls;

    void after(kernel::duration delay, std::function<void()> call);

    /// Makes all calls up to `end`.
    void run_until(kernel::monotonic_time end);

    [[nodiscard]] bool draw(unsigned percent);
    [[nodiscard]] std::uint64_t below(std::uint64_t bound);
    [[nodiscard]] kernel::duration between_ms(std::uint64_t least, std::uint64_t most);
};

/// All backend servers, with a count of the runs of each id.
struct simulated_servers
{
    using report = std::function<void(events::forward_event)>;
    /// Server, id and attempt.
    using run_key = std::pair<std::string, std::string>;

    std::map<std::string, std::size_t> runs;
    std::set<run_key> started;
    std::set<run_key> cancelled;

    /// Receives an attempt; its results go to `tell`.
    void dispatch(simulation& world, events::dispatch_attempt const& command, report const& tell);

    /// Receives a cancellation.
    void cancel(simulation& world, events::cancel_attempt const& command, report const& tell);
};

/// @returns the answer that a backend server gives to a request.
[[nodiscard]] std::string expected_answer(std::string const& id, std::string const& body);

} // namespace pistachiohub::forward_test
