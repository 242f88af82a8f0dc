#pragma once

/// @file
/// A simulated fleet of dispatchers whose backend servers answer faster for the objects that they
/// handled lately.

#include "plugins/gateway/dispatcher.hpp"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace pistachiohub::placement_test
{

/// What happens to the servers in the middle of a run.
enum class server_change
{
    none,
    /// A server of 8 slots joins the first region.
    join,
    /// A server of 4 slots leaves the first region.
    leave
};

/// The fleet and its load.
struct placement_plan
{
    std::size_t regions = 2;
    std::size_t hosts_per_region = 3;
    /// Servers of 4, 8 and 16 slots in turn.
    std::size_t servers_per_region = 6;
    std::size_t objects = 900;
    /// Exponent of the popularity of the objects; 0 is even.
    double skew = 0;
    /// Work that arrives, as a part of the slots, if every run is as long as `nominal_run`.
    double load = 0.9;
    std::chrono::milliseconds nominal_run{140};
    server_change change = server_change::none;
    kernel::placement_rule rule = kernel::placement_rule::by_load;
};

/// Figures of one run.
struct placement_figures
{
    /// Objects that changed their main server between consecutive observations, and those that have
    /// a main server in both.
    double moved = 0;
    double compared = 0;
    /// The same between the observations before and after the change of servers.
    double moved_by_change = 0;
    /// Objects whose first server in the ranking by slots changes with the servers.
    double fewest_by_change = 0;
    /// Largest number of objects at a server, relative to its part of the slots of its region.
    double largest_share = 0;
    double requests = 0;
    double served = 0;
    double refused = 0;
    double warm = 0;
    double in_target = 0;
    /// Mean time from arrival to answer in milliseconds.
    double mean_ms = 0;
    /// Occupied slots as a part of all.
    double utilisation = 0;
    /// Runs in another region than the object's callers.
    double outside = 0;
};

/// A fleet in simulated time. All delays and arrivals are drawn from the seed.
class placement_fleet
{
public:
    placement_fleet(placement_plan const& plan, unsigned seed);

    /// Plays the plan.
    placement_figures play();

private:
    struct host
    {
        std::string region;
        std::string domain;
        kernel::metrics metrics;
        std::unique_ptr<gateway::dispatcher> decisions;
        kernel::monotonic_time reported_at;
    };

    struct run
    {
        host* sender = nullptr;
        gateway::request_pointer request;
        std::size_t object = 0;
    };

    struct server
    {
        fleet::backend_server record;
        std::string region;
        std::uint32_t running = 0;
        std::deque<run> waiting;
        /// Objects that are warm, the latest first.
        std::list<std::size_t> warm;
    };

    using action = std::function<void()>;
    /// Requests of each object in one observation, by server.
    using observation = std::vector<std::map<std::string, std::size_t>>;

    void after(kernel::duration delay, action act);
    void add_server(std::size_t region, std::uint32_t slots);
    void start(host& started);
    void apply_to_all(fleet::backend_server const& record);
    void change_servers();
    void call();
    void share_loads();
    void send(host& sender, gateway::request_pointer const& request);
    void reach(server& reached, run&& arrived);
    void begin_run(server& at, run&& begun);
    void end_attempt(run const& ended, gateway::attempt_result result, std::size_t load);
    void observe();
    [[nodiscard]] std::vector<std::string> first_by_slots() const;
    [[nodiscard]] double largest_share(std::vector<std::string> const& main) const;
    [[nodiscard]] bool is_measured() const;

    placement_plan m_plan;
    /// Separate generators, so that all designs see the same arrivals.
    std::mt19937 m_arrivals;
    std::mt19937 m_random;
    std::discrete_distribution<std::size_t> m_popularity;
    double m_calls_per_second = 0;
    kernel::monotonic_time m_now{std::chrono::hours(1)};
    kernel::monotonic_time m_started_at = m_now;
    std::multimap<kernel::monotonic_time, action> m_events;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::map<std::string, server> m_servers;
    std::map<std::uint64_t, std::size_t> m_object_of_request;
    routing::routing_document m_document;
    std::uint64_t m_versions = 1;
    std::uint64_t m_requests = 0;
    observation m_seen;
    std::vector<std::string> m_main;
    std::vector<std::string> m_main_before_change;
    double m_share_sum = 0;
    double m_share_count = 0;
    double m_busy_ms = 0;
    placement_figures m_figures;
};

} // namespace pistachiohub::placement_test
