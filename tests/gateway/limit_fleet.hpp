#pragma once

/// @file
/// A simulated fleet of dispatchers whose backend servers name limits of the requests that they
/// take.

#include "plugins/gateway/dispatcher.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace pistachiohub::gateway_test
{

/// The fleet, its load, and the limits that are named.
struct limit_plan
{
    std::size_t regions = 3;
    std::size_t hosts_per_region = 3;
    std::size_t servers_per_region = 5;
    std::size_t limited_servers = 2;
    /// Limit of each limited server, in requests a second.
    double limit = 1.5;
    /// Requests a second of all callers.
    double load = 130;
    /// Hosts are restarted in turn while the limits are named.
    bool restarts_hosts = false;
    std::chrono::seconds limit_begins{8};
    std::chrono::seconds limit_ends{60};
    std::chrono::seconds length{40};
};

/// A fleet in simulated time. All delays and arrivals are drawn from the seed.
class limit_fleet
{
public:
    limit_fleet(limit_plan const& plan, unsigned seed);

    /// Plays the plan.
    void play();

    /// @returns the largest excess of any limited server over what the rule allows in any 4 s, in
    /// requests; 0 or less if the rule holds.
    [[nodiscard]] double largest_excess() const;

    /// @returns requests a second that the limited servers got on average, from the time at which
    /// the rule holds to the end of the limit, as a part of their limit.
    [[nodiscard]] double use_of_limit() const;

    /// @returns requests a second that the limited servers got on average in a span of time.
    [[nodiscard]] double rate_at_limited_servers(std::chrono::seconds from,
                                                 std::chrono::seconds to) const;

    /// @returns the part of the requests that were served.
    [[nodiscard]] double served_part() const;

private:
    struct host
    {
        std::string name;
        std::string region;
        std::string domain;
        kernel::metrics metrics;
        std::unique_ptr<gateway::dispatcher> decisions;
        kernel::monotonic_time started_at;
        /// When this process first passed on a limit, by server.
        std::map<std::string, kernel::monotonic_time> told_at;
    };

    struct server
    {
        fleet::backend_server record;
        bool is_limited = false;
        std::size_t running = 0;
    };

    struct arrival
    {
        kernel::monotonic_time at;
        bool is_sender_told = false;
    };

    using action = std::function<void()>;

    [[nodiscard]] double draw();
    [[nodiscard]] bool names_limit(server const& answering) const;
    void after(kernel::duration delay, action act);
    void after(host& of, kernel::duration delay, action act);
    void start(host& started);
    void report_hosts_to(host& reader, bool is_complete);
    void report_hosts();
    void send(host& sender, gateway::request_pointer const& request);
    void answer(host& sender, server& answering, gateway::request_pointer const& request);
    void call();

    limit_plan m_plan;
    std::mt19937 m_random;
    kernel::monotonic_time m_now{std::chrono::hours(1)};
    kernel::monotonic_time m_started_at = m_now;
    std::multimap<kernel::monotonic_time, action> m_events;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::map<std::string, server> m_servers;
    routing::routing_document m_document;
    std::map<std::string, std::vector<arrival>> m_arrivals;
    std::uint64_t m_reports = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_served = 0;
};

} // namespace pistachiohub::gateway_test
