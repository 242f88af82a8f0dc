#pragma once

/// @file
/// Simulated time, and backend servers that refuse, break connections, delay and cancel runs at
/// random.

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

/// Random numbers and scheduled calls in simulated time.
struct simulation
{
    explicit simulation(std::uint64_t seed)
        : random(seed)
    {
    }

    std::mt19937_64 random;
    kernel::monotonic_time now = kernel::monotonic_time{} + std::chrono::hours(1);
    std::multimap<kernel::monotonic_time, std::function<void()>> calls;

    /// Schedules a call after `delay`.
    void call_after(kernel::duration delay, std::function<void()> call);

    /// Advances the time to each scheduled call up to `end` and makes it.
    void run_until(kernel::monotonic_time end);

    /// @returns true with a probability of `percent` in 100.
    [[nodiscard]] bool chance(unsigned percent);
    /// @returns a random number less than `bound`.
    [[nodiscard]] std::uint64_t random_below(std::uint64_t bound);
    /// @returns a random whole number of milliseconds from `min_ms` to `max_ms`, both included.
    [[nodiscard]] kernel::duration random_ms(std::uint64_t min_ms, std::uint64_t max_ms);
};

/// All simulated backend servers.
struct simulated_servers
{
    using event_callback = std::function<void(events::forward_event)>;
    /// Backend server name, and request id with attempt number.
    using run_key = std::pair<std::string, std::string>;

    /// Number of runs started for each request id.
    std::map<std::string, std::size_t> runs;
    std::set<run_key> started;
    /// Runs that must not start any more.
    std::set<run_key> cancelled;

    /// Receives an attempt.
    /// @param on_event called with each result of the attempt.
    void dispatch(simulation& world,
                  events::dispatch_attempt const& command,
                  event_callback const& on_event);

    /// Receives a cancellation request.
    /// @param on_event called with the reply.
    void cancel(simulation& world,
                events::cancel_attempt const& command,
                event_callback const& on_event);
};

/// @returns the answer that a backend server gives to a request.
[[nodiscard]] std::string expected_answer(std::string const& id, std::string const& body);

} // namespace pistachiohub::forward_test
