#pragma once

/// @file
/// Simulated dispatchers that share a few backend servers under more load than these have slots.

#include "libraries/routing/customer.hpp"
#include "plugins/gateway/dispatcher.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace pistachiohub::gateway_test
{

/// Callers of one kind and customer that arrive at random during some seconds.
struct caller_group
{
    /// Position in `overload_plan::priorities`.
    std::size_t kind = 0;
    /// Empty without a customer.
    std::string customer;
    double per_second = 0;
    double from_seconds = 0;
    double to_seconds = 0;
    /// The callers come back after `Retry-After`, at the latest after a third of their time.
    bool come_back = false;
};

/// The load, and the servers that it meets: 8 servers with 7 slots and runs of 150 ms on average
/// serve 373 requests a second.
struct overload_plan
{
    /// Priority of each kind (route).
    std::vector<std::uint32_t> priorities{0};
    std::vector<caller_group> groups;
    double length_seconds = 16;
    /// Servers on which work takes three times as long as usual from the fourth to the tenth
    /// second.
    std::size_t slow_servers = 0;
};

/// What became of callers.
struct overload_counts
{
    double asked = 0;
    /// Answered by a server within the target latency of the attempt, or later.
    double in_time = 0;
    double late = 0;
    /// Refused attempts, and the time in seconds for which each waited before.
    std::vector<double> waits;
    /// Attempts after a refusal, and those of them that were served.
    double came_back = 0;
    double served_again = 0;

    [[nodiscard]] double served() const
    {
        return in_time + late;
    }

    [[nodiscard]] double served_part() const
    {
        return asked > 0 ? served() / asked : 1;
    }

    /// @returns the wait in seconds that 99 of 100 refused attempts did not exceed.
    [[nodiscard]] double p99_wait() const;
};

/// A fleet in simulated time. All delays and arrivals are drawn from the seed.
class overload_fleet
{
public:
    static constexpr double target_seconds = 0.4;

    overload_fleet(overload_plan plan, unsigned seed);

    void play();

    /// Counts of all callers, by kind (`kind-0`) and by customer (`customer NAME`).
    std::map<std::string, overload_counts> m_counts;
    /// Refusals while one of the servers that the host may use had a free slot, as the host knew
    /// it.
    std::size_t m_refused_with_free_slot = 0;
    /// Runs that began after the target latency of their request had passed.
    std::size_t m_late_starts = 0;

private:
    using action = std::function<void()>;

    struct server
    {
        gateway::server_load load;
        std::deque<action> waiting;
    };

    struct host
    {
        kernel::metrics metrics;
        std::unique_ptr<gateway::dispatcher> decisions;
        std::map<std::uint64_t, std::function<void(gateway::answer const&)>> callers;
    };

    [[nodiscard]] double draw();
    void after(double seconds, action act);
    void start(host& started, std::string const& name);
    void slow_down(std::uint32_t percent);
    void exchange_loads();
    void send(host& sender, gateway::request_pointer const& request);
    void run(server& at, action const& done);
    void call(caller_group const& group, kernel::monotonic_time deadline, bool is_return);
    void count(caller_group const& group, std::function<void(overload_counts&)> const& add);

    overload_plan m_plan;
    std::mt19937 m_random;
    kernel::monotonic_time m_now{std::chrono::hours(1)};
    kernel::monotonic_time m_began_at = m_now;
    std::multimap<kernel::monotonic_time, action> m_events;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::map<std::string, server> m_servers;
    std::map<std::string, routing::customer> m_customers;
    std::uint64_t m_last_number = 0;
};

} // namespace pistachiohub::gateway_test
