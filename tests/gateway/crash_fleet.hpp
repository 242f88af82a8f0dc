#pragma once

/// @file
/// A simulated fleet of dispatchers, backend servers and a store, in which one caller repeats a
/// request that crashes each server which begins to run it.

#include "plugins/gateway/dispatcher.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace pistachiohub::gateway_test
{

/// Which disruptions are played beside the request that crashes servers.
struct crash_plan
{
    /// Hosts are stopped and started again, one after the other.
    bool restarts_in_turn = false;
    /// All hosts are killed at the same moment, twice.
    bool kills_all = false;
    /// The route moves to the other service and back.
    bool moves_route = false;
    /// Part of the servers' runs of the request that end with an error in place of a crash.
    double failing_part = 0;
    /// Servers restart under the id that they had.
    bool keeps_ids = false;
    /// Each call comes from another network address.
    bool changes_address = false;
};

/// A fleet in simulated time. All delays are drawn from the seed.
class crash_fleet
{
public:
    crash_fleet(crash_plan const& plan, unsigned seed);

    /// Plays 60 s of the plan.
    void play();

    /// @returns how many servers crashed.
    [[nodiscard]] std::size_t crashes() const
    {
        return m_crashes.size();
    }

    /// @returns how often the request reached servers too late: 3 s or more after the third crash,
    /// from hosts that had been running for 3 s.
    [[nodiscard]] std::size_t late_arrivals() const;

private:
    struct host
    {
        std::string name;
        kernel::metrics metrics;
        std::unique_ptr<gateway::dispatcher> decisions;
        /// Start of the process; another value is another process.
        kernel::monotonic_time started_at;
        fleet::entry_host record;
    };

    struct server
    {
        fleet::backend_server record;
        bool is_up = true;
    };

    struct arrival
    {
        kernel::monotonic_time sent_at;
        bool is_sender_in_touch = false;
    };

    using action = std::function<void()>;

    [[nodiscard]] std::chrono::milliseconds draw(int least_ms, int most_ms);
    [[nodiscard]] double draw_fraction();
    void after(std::chrono::milliseconds delay, action act);
    /// Runs `act` later, unless the process of the host has ended by then.
    void after(host& of, std::chrono::milliseconds delay, action act);

    void start(host& started);
    void stop(host& stopped, bool is_planned, std::chrono::milliseconds down_time);
    void read_store(host& reader);
    void write_registration(host& writer);
    [[nodiscard]] gateway::dispatcher_actions make_actions(host& of);
    void send(host& sender, gateway::request_pointer const& request);
    void arrive(host& sender, gateway::request_pointer const& request);
    void end(host& of, gateway::request_pointer const& request, gateway::attempt_result result);
    void crash(server& crashed);
    void restart(server& crashed);
    void publish_server(fleet::backend_server const& record);
    void withdraw_server(std::string const& id);
    void publish_configuration();
    void call();
    void schedule_plan();
    template<class Update>
    void tell_all(Update const& update, int least_ms, int most_ms);

    crash_plan m_plan;
    std::mt19937 m_random;
    kernel::monotonic_time m_now{std::chrono::hours(1)};
    kernel::monotonic_time m_started_at = m_now;
    std::multimap<kernel::monotonic_time, action> m_events;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::vector<std::unique_ptr<server>> m_servers;
    /// Registrations of the entry hosts in the store.
    std::map<std::string, fleet::entry_host> m_registrations;
    routing::routing_document m_document;
    std::uint64_t m_revision = 1;
    std::uint64_t m_requests = 0;
    std::size_t m_restarted_servers = 0;
    std::vector<kernel::monotonic_time> m_crashes;
    std::vector<arrival> m_arrivals;
};

} // namespace pistachiohub::gateway_test
