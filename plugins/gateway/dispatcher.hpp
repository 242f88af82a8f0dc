#pragma once

/// @file
/// Decides about every request of the gateway: route, service, backend server, waiting, retries and
/// refusals. Has no clock and no socket.

#include "kernel/gateway_settings.hpp"
#include "kernel/log.hpp"
#include "kernel/metrics.hpp"
#include "kernel/settings.hpp"
#include "plugins/gateway/crash_watch.hpp"
#include "plugins/gateway/entry_hosts.hpp"
#include "plugins/gateway/refusal.hpp"
#include "plugins/gateway/request.hpp"
#include "plugins/gateway/retry_allowance.hpp"
#include "plugins/gateway/server_table.hpp"
#include "plugins/gateway/spill.hpp"
#include "plugins/gateway/split_rotation.hpp"

#include <functional>
#include <list>
#include <map>

namespace pistachiohub::gateway
{

/// What the dispatcher has done by others.
struct dispatcher_actions
{
    /// Sends the request to `request->server`. attempt_ended() must follow, unless it is cancelled.
    std::function<void(request_pointer const&, std::chrono::milliseconds remaining)> send;
    /// Ends the current send; attempt_ended() must not follow.
    std::function<void(request_pointer const&)> cancel;
    /// Gives the caller its answer.
    std::function<void(request_pointer const&, answer&&)> reply;
    /// Counts the outcome of a request that has ended. Called once for each request of a known
    /// service that bears an id.
    std::function<void(gateway_request const&, outcome)> settle;
    /// Looks whether the server still listens. server_checked() must follow.
    std::function<void(server_pointer const&)> check_server;
    /// Tells the other daemons what crashed servers.
    std::function<void(std::vector<fleet::crash_report>&&)> report_crashes;
    /// @returns a number in `[0, 1)`.
    std::function<double()> random;
};

/// What the dispatcher knows of one service.
struct service_state
{
    spill_state spill;
    /// Smoothed use of the slots by distance.
    utilisation used;
    served_count in_region;
    served_count outside;
    retry_allowance retries;
    /// Smoothed time from sending a request to its answer, in seconds; 0 before the first.
    double run_seconds = 0;
    /// Requests of this daemon that backend servers have.
    std::size_t running = 0;
    /// Requests that wait for a slot, by priority and then in the order of arrival.
    std::list<request_pointer> waiting;
    /// Permission to send requests to another region for want of room, in requests.
    double far_sends = 0;
};

/// All decisions about requests. Called by one thread.
class dispatcher
{
public:
    dispatcher(kernel::settings const& own, dispatcher_actions actions, kernel::metrics& metrics);

    /// Takes the bounds of changed settings.
    void set_bounds(kernel::gateway_bounds const& bounds);

    /// Applies what was read from the store.
    void apply(events::store_update<routing::routing_document> const& update);
    void apply(events::store_update<fleet::backend_server> const& update,
               kernel::monotonic_time now);
    void apply(events::store_update<events::evacuation> const& update, kernel::monotonic_time now);
    void apply(events::store_update<fleet::entry_host> const& update, kernel::monotonic_time now);
    void apply_server_contact(bool is_reachable, kernel::monotonic_time now);
    void apply_host_contact(bool is_reachable, kernel::monotonic_time now);

    /// @returns the configuration in force, or null.
    [[nodiscard]] std::shared_ptr<routing::routing_table const> const& table() const
    {
        return m_table;
    }

    /// @returns the entry hosts.
    [[nodiscard]] host_table& hosts()
    {
        return m_hosts;
    }

    [[nodiscard]] host_table const& hosts() const
    {
        return m_hosts;
    }

    /// @returns the backend servers.
    [[nodiscard]] server_table const& servers() const
    {
        return m_servers;
    }

    /// @returns the backend servers, to note what other daemons tell of their loads.
    [[nodiscard]] server_table& servers()
    {
        return m_servers;
    }

    /// @returns whether requests can be served.
    [[nodiscard]] bool is_ready() const
    {
        return m_table != nullptr && m_servers.is_loaded;
    }

    /// @returns requests that are not answered.
    [[nodiscard]] std::size_t open_requests() const
    {
        return m_open;
    }

    /// Decides about a new request. Its message, id, affinity key and times of arrival and of the
    /// caller's leaving are set.
    void begin(request_pointer const& request, kernel::monotonic_time now);

    /// Handles the end of the current send.
    void
    attempt_ended(request_pointer const& request, attempt_end&& end, kernel::monotonic_time now);

    /// Handles the end of a check of a server after a send to it broke.
    void server_checked(server_pointer const& server, bool is_refused, kernel::monotonic_time now);

    /// The caller has closed its connection: the request is cancelled or dropped.
    void caller_gone(request_pointer const& request, kernel::monotonic_time now);

    /// Answers requests whose time is up, sends waiting ones and adapts to the load.
    void tick(kernel::monotonic_time now);

    /// @returns when tick() has something to do again.
    [[nodiscard]] kernel::monotonic_time next_tick(kernel::monotonic_time now) const;

private:
    service_state& state_of(std::string const& service);
    void
    start_spill_of(std::string const& service, service_state& state, kernel::monotonic_time now);
    /// Counts the request by the distance of its first server.
    void count_wanted(gateway_request& request, known_server const& first);
    [[nodiscard]] static served_count& count_at(service_state& state, known_server const& server);
    void dispatch(request_pointer const& request, kernel::monotonic_time now);
    [[nodiscard]] bool try_send(request_pointer const& request, kernel::monotonic_time now);
    void send(request_pointer const& request, kernel::monotonic_time now);
    void wait(request_pointer const& request, kernel::monotonic_time now);
    void send_waiting(std::string const& service, kernel::monotonic_time now);
    void
    retry_or_fail(request_pointer const& request, attempt_end&& end, kernel::monotonic_time now);
    [[nodiscard]] bool
    may_retry(request_pointer const& request, attempt_result result, kernel::monotonic_time now);
    void finish(request_pointer const& request,
                answer&& made,
                std::string_view outcome,
                kernel::monotonic_time now);
    void refuse(request_pointer const& request, refusal cause, kernel::monotonic_time now);
    /// Ends the request, so that nothing more happens to it.
    void close(gateway_request& request);
    [[nodiscard]] std::chrono::milliseconds retry_after(service_state const& state);
    /// Counts the request among those that wait for `server`, which may be null.
    static void set_waiting(gateway_request& request, server_pointer const& server);
    void leave_server(request_pointer const& request);
    void update_utilisation(std::string const& service,
                            service_state& state,
                            kernel::monotonic_time now);
    void end_overdue(kernel::monotonic_time now);
    void note_broken_send(gateway_request const& request, kernel::monotonic_time now);
    void log_quarantined(std::uint64_t fingerprint, std::string_view source);
    void log_added(std::string const& id);
    void log_lost(std::vector<std::string> const& ids, std::string_view cause);
    [[nodiscard]] bool may_send_cold(known_server& server, kernel::monotonic_time now);

    std::string m_own_name;
    /// Number of regions.
    std::size_t m_regions = 0;
    kernel::gateway_bounds m_bounds;
    dispatcher_actions m_actions;
    kernel::metrics& m_metrics;
    kernel::log_limiter m_request_log;

    crash_watch m_crashes;
    std::shared_ptr<routing::routing_table const> m_table;
    server_table m_servers;
    host_table m_hosts;
    routing::text_map<service_state> m_services;
    routing::text_map<split_rotation> m_rotations;
    /// Requests by the time at which they must be answered.
    std::multimap<kernel::monotonic_time, std::weak_ptr<gateway_request>> m_due;
    /// Hosts among which budgets of the fleet are shared; empty while they are unknown.
    std::vector<std::string> m_sharing_hosts;
    kernel::monotonic_time m_adapted_at;
    std::size_t m_open = 0;
};

} // namespace pistachiohub::gateway
