#pragma once

/// @file
/// Decides about every request of the gateway: route, service, backend server, queueing, retries
/// and refusals. Uses no clock and no sockets, so that tests control both.

#include "kernel/gateway_settings.hpp"
#include "kernel/log.hpp"
#include "kernel/metrics.hpp"
#include "kernel/settings.hpp"
#include "libraries/interface/interface.hpp"
#include "plugins/admission/admission.hpp"
#include "plugins/customer/contact.hpp"
#include "plugins/gateway/crash_watch.hpp"
#include "plugins/gateway/customer_quotas.hpp"
#include "plugins/gateway/entry_hosts.hpp"
#include "plugins/gateway/refusal.hpp"
#include "plugins/gateway/request.hpp"
#include "plugins/gateway/retry_allowance.hpp"
#include "plugins/gateway/server_choice.hpp"
#include "plugins/gateway/server_table.hpp"
#include "plugins/gateway/service_end.hpp"
#include "plugins/gateway/spill.hpp"
#include "plugins/gateway/weighted_round_robin.hpp"
#include "plugins/placement/move_sample.hpp"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <span>

namespace pistachiohub::gateway
{

/// Callbacks through which the dispatcher acts.
struct dispatcher_actions
{
    /// Sends the request to `request->server`. attempt_ended() must follow, unless it is cancelled.
    std::function<void(request_pointer const&, std::chrono::milliseconds remaining)> send;
    /// Ends the current send; attempt_ended() must not follow.
    std::function<void(request_pointer const&)> cancel;
    /// Sends the answer to the caller.
    std::function<void(request_pointer const&, answer&&)> reply;
    /// Ends an answer in parts that is whole.
    std::function<void(request_pointer const&)> end_stream;
    /// Ends an answer in parts that broke off. A caller that has a part of it must see that;
    /// another one gets `replacement`.
    std::function<void(request_pointer const&, answer&& replacement)> break_stream;
    /// Records the outcome of a request that has ended, for the settlement. Called once for each
    /// request that has an id and was routed to a service.
    std::function<void(gateway_request const&, outcome)> settle;
    /// Checks whether anything still listens at the server's address. server_checked() must follow.
    std::function<void(server_pointer const&)> check_server;
    /// Publishes what this daemon knows of requests that crash servers to the other daemons.
    std::function<void(fleet::crash_knowledge&&)> publish_crashes;
    /// @returns the wall clock in milliseconds since the Unix epoch.
    std::function<std::uint64_t()> wall_clock_ms;
    /// @returns the time of the boot clock, by which keys are judged with strict revocation.
    std::function<kernel::boot_time()> boot_clock;
    /// @returns a number in `[0, 1)`.
    std::function<double()> random;
};

/// Remaining time below which a request is not sent, because no backend server could answer in
/// time.
inline constexpr auto min_run_time = std::chrono::milliseconds(20);

/// State of the dispatcher for one service.
struct service_state
{
    spill_state spill;
    /// Smoothed utilisation of the slots by distance.
    utilisation smoothed_utilisation;
    placement::move_sample moves;
    served_counts served_in_region;
    served_counts served_outside;
    retry_allowance retries;
    /// Smoothed time from sending a request to its answer, in seconds; 0 before the first.
    double smoothed_run_seconds = 0;
    /// The same without the expected wait at the server and without the slowdown of its machine.
    admission::work_estimate work;
    /// Longest recent runs by route: the requests of one service may differ by far.
    routing::text_map<run_history> runs_of_route;
    /// Requests of this daemon that are in flight at backend servers.
    std::size_t running = 0;
    /// Requests that wait for a slot.
    std::list<request_pointer> waiting;
    admission::shares shares;
    admission::return_schedule returns;
    /// Token bucket for sends to another region when the servers of an object have no room. One
    /// token permits one send.
    double cross_region_tokens = 0;
};

/// All decisions about requests. Called by one thread.
class dispatcher
{
public:
    dispatcher(kernel::settings const& own, dispatcher_actions actions, kernel::metrics& metrics);

    /// Replaces the bounds after a change of the settings.
    void set_bounds(kernel::gateway_bounds const& bounds);

    /// Sets when the process ends. Requests that would not be answered before are refused, since a
    /// refusal can be repeated elsewhere at once and a run that is cut off cannot.
    void set_service_end(service_end const& end);

    /// Ends all requests when the process ends: those that have not run are refused, and the
    /// callers of the others are told that the outcome is unknown.
    void end_service(kernel::monotonic_time now);

    /// Applies changes read from the store.
    void apply(events::store_update<routing::routing_document> const& update);
    void apply(events::store_update<fleet::backend_server> const& update,
               kernel::monotonic_time now);
    void apply(events::store_update<events::evacuation> const& update, kernel::monotonic_time now);
    void apply(events::store_update<fleet::entry_host> const& update, kernel::monotonic_time now);
    /// Handles that a call, begun at the given time, confirmed the configuration in force.
    void configuration_confirmed(kernel::boot_time begun_at);
    /// Records whether the store answers reads of backend servers. Servers that are missing after
    /// an outage are kept for a grace time.
    void set_server_store_reachable(bool is_reachable, kernel::monotonic_time now);
    /// Records whether the store answers reads of entry hosts.
    void set_host_store_reachable(bool is_reachable, kernel::monotonic_time now);

    /// @returns the configuration in force, or null before the first one.
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

    /// @returns the backend servers, for recording loads that other daemons share.
    [[nodiscard]] server_table& servers()
    {
        return m_servers;
    }

    /// @returns the contact with the store that judges keys.
    [[nodiscard]] customer::contact const& contact() const
    {
        return m_contact;
    }

    /// @returns the quotas of customers, for the exchange with other daemons.
    [[nodiscard]] customer_quotas& quotas()
    {
        return m_quotas;
    }

    /// @returns the crashes and quarantines that this daemon knows.
    [[nodiscard]] crash_watch const& crashes() const
    {
        return m_crashes;
    }

    /// @returns whether requests can be served.
    [[nodiscard]] bool is_ready() const
    {
        return m_table != nullptr && m_servers.is_loaded;
    }

    /// @returns the number of requests that have not ended.
    [[nodiscard]] std::size_t open_requests() const
    {
        return m_open_requests;
    }

    /// Handles that the first read of the store failed: nothing is known of when requests can be
    /// served, so those that wait for it and later ones are refused at once.
    void start_failed(kernel::monotonic_time now);

    /// Starts a new request: sends, queues or refuses it. A request that arrives while the first
    /// configuration and servers are being read waits for them for a short time. The caller of this
    /// function has set its `number`, `message`, `key`, `id`, `affinity_key`, `arrived_at` and
    /// `caller_deadline`.
    void begin(request_pointer const& request, kernel::monotonic_time now);

    /// Handles what an answer to the request says of the server that it was sent to.
    void server_notice_received(gateway_request const& request,
                                interface::server_notice const& notice,
                                kernel::monotonic_time now);

    /// Handles that the backend server has begun an answer that the caller receives in parts.
    void stream_began(gateway_request& request, kernel::monotonic_time now);

    /// Handles the end of the current send: answers, retries or refuses the request. Ignored when
    /// the request is not running any more.
    void
    attempt_ended(request_pointer const& request, attempt_end&& end, kernel::monotonic_time now);

    /// Handles the result of `check_server`.
    /// @param is_refused whether the server refused the connection, which means that it has
    /// crashed.
    void server_checked(server_pointer const& server, bool is_refused, kernel::monotonic_time now);

    /// Handles that the connection of the caller has closed: cancels the request if it is running
    /// and removes it from the queue if it is waiting.
    /// @param cause which side closed it and why, for logs and metric labels.
    void
    caller_gone(request_pointer const& request, std::string_view cause, kernel::monotonic_time now);

    /// Ends requests whose deadline has passed, sends waiting ones and adapts the spillover to the
    /// load.
    void tick(kernel::monotonic_time now);

    /// @returns the time at which tick() must be called next.
    [[nodiscard]] kernel::monotonic_time next_tick(kernel::monotonic_time now) const;

private:
    service_state& state_of(std::string const& service);
    /// @returns whether the first configuration or the first servers are still being read.
    [[nodiscard]] bool is_starting() const;
    void hold(request_pointer const& request);
    /// Starts the requests that waited for the first configuration and servers.
    void release_held(kernel::monotonic_time now);
    /// Finds the route of a request and sends, queues or refuses it.
    void admit(request_pointer const& request, kernel::monotonic_time now);
    /// Sets the customer of a request whose route and service are known.
    /// @returns why the request is refused for its key; nothing if it is not.
    [[nodiscard]] std::optional<refusal> identify_customer(gateway_request& request,
                                                           kernel::monotonic_time now);
    /// @returns whether keys cannot be judged yet, because the first confirmation of the
    /// configuration is still to come.
    [[nodiscard]] bool awaits_confirmation() const;
    /// Logs when the configuration becomes too old to judge keys, and when it is confirmed again.
    void note_trust(bool is_trusted);
    /// @returns the index of a new configuration, in which customers that cannot be read have their
    /// last readable version.
    [[nodiscard]] std::shared_ptr<routing::routing_table const>
    make_table(routing::routing_document document);
    void remove_waiting(request_pointer const& request);
    /// @returns whether a request that is sent now is expected to end before the process does.
    [[nodiscard]] bool can_end_in_service(gateway_request const& request,
                                          kernel::monotonic_time now) const;
    /// Records for how long a request has been running that has now ended or was given up.
    void
    record_run_of(gateway_request const& request, bool has_succeeded, kernel::monotonic_time now);
    /// Ends a running request whose outcome stays unknown.
    void give_up_run(request_pointer const& request, refusal cause, kernel::monotonic_time now);
    void
    start_spill_of(std::string const& service, service_state& state, kernel::monotonic_time now);
    /// Counts the request at the distance of its first choice of server.
    void count_assigned(gateway_request& request, known_server const& first);
    [[nodiscard]] static served_counts& served_counts_at(service_state& state,
                                                         known_server const& server);
    /// Sends, queues or refuses the request.
    void dispatch(request_pointer const& request, kernel::monotonic_time now);
    /// @returns whether the request was sent. It may also have been refused.
    /// @param servers_per_object number of servers that may run the requests of one object.
    /// @param is_last_resort whether the request is refused if it is not sent.
    [[nodiscard]] bool try_send(request_pointer const& request,
                                kernel::monotonic_time now,
                                std::size_t servers_per_object = max_servers_per_object,
                                bool is_last_resort = false);
    void send(request_pointer const& request, kernel::monotonic_time now);
    /// Judges failed trials and publishes the decisions.
    void update_trials(kernel::monotonic_time now);
    /// Counts the request among those that ask for a slot.
    void record_asked(gateway_request const& request, kernel::monotonic_time now);
    /// Counts the request as sent, and compares its wait with the predicted one.
    void record_started(gateway_request& request, kernel::monotonic_time now);
    /// Learns how long a request occupies a slot.
    /// @param run_seconds time from the send to the answer.
    void record_work(gateway_request const& request, double run_seconds);
    /// Orders the waiting requests by who gets the next free slot.
    static void sort_waiting(service_state& state, kernel::monotonic_time now);
    /// Refuses a request that cannot start in time, unless another server has slots to spare.
    void refuse_without_room(request_pointer const& request,
                             admission::wait_input const& prediction,
                             kernel::monotonic_time now);
    /// Goes through the waiting requests by rank: sends those for which there is a free slot, and
    /// refuses those that would start too late.
    /// @param added the request that has just joined them, null if none.
    /// @param max_blocked requests without room after which no more are sent, except `added`.
    void pass_queue(service_state& state,
                    request_pointer const& added,
                    std::size_t max_blocked,
                    kernel::monotonic_time now);
    /// Refuses a request without room if it would start too late.
    /// @param ahead waiting requests of the same server that rank before it.
    /// @returns whether it goes on waiting.
    [[nodiscard]] bool keep_waiting(request_pointer const& request,
                                    bool is_new,
                                    double ahead,
                                    kernel::monotonic_time now);
    /// Sends waiting requests of the service for which there is a free slot, and refuses those that
    /// have become too late.
    void send_waiting(std::string const& service, kernel::monotonic_time now);
    /// The same by priority and arrival alone: sends waiting requests, and refuses none.
    void send_waiting_by_priority(service_state& state, kernel::monotonic_time now);
    /// Queues a request by priority and arrival, or refuses it if it could not start in time.
    void enqueue_by_priority(request_pointer const& request, kernel::monotonic_time now);
    /// Sends a request that would be refused to one of further servers of its object.
    /// @returns whether it was sent. It may also have been refused.
    [[nodiscard]] bool send_as_last_resort(request_pointer const& request,
                                           kernel::monotonic_time now);
    [[nodiscard]] std::chrono::milliseconds retry_after_quarantine(gateway_request const& request,
                                                                   kernel::monotonic_time now);
    [[nodiscard]] std::chrono::milliseconds retry_after_by_priority(gateway_request const& request,
                                                                    kernel::monotonic_time now);
    void
    retry_or_fail(request_pointer const& request, attempt_end&& end, kernel::monotonic_time now);
    [[nodiscard]] bool
    may_retry(request_pointer const& request, attempt_result result, kernel::monotonic_time now);
    /// Ends a request with the answer of a backend server that may have run it, or with a failure
    /// where the answer would mislead its caller.
    void deliver(request_pointer const& request,
                 answer&& received,
                 std::string_view outcome,
                 kernel::monotonic_time now);
    void finish(request_pointer const& request,
                answer&& response,
                std::string_view outcome,
                kernel::monotonic_time now);
    void refuse(request_pointer const& request, refusal cause, kernel::monotonic_time now);
    /// Moves the request to its final state and records its outcome.
    void end_request(gateway_request& request);
    /// @returns after which time the refused caller is to come back.
    [[nodiscard]] std::chrono::milliseconds
    retry_after(gateway_request const& request, refusal cause, kernel::monotonic_time now);
    /// Sets the server for a slot of which the request waits, null for none, and updates the counts
    /// of waiting requests.
    static void set_awaited_server(gateway_request& request, server_pointer const& server);
    /// Removes the request from the counts of running requests.
    void release_slot(request_pointer const& request);
    void update_utilisation(std::string const& service,
                            service_state& state,
                            kernel::monotonic_time now);
    /// Adapts the weights of the servers of a service to their load.
    void update_weights(std::string const& service, kernel::monotonic_time now);
    /// Counts the object of a request if it changes its server.
    void count_move(gateway_request const& request,
                    server_choice const& chosen,
                    kernel::monotonic_time now);
    void end_expired(kernel::monotonic_time now);
    void record_broken_send(gateway_request const& request, kernel::monotonic_time now);
    void log_broken_run(gateway_request const& request, kernel::monotonic_time now);
    void check_server(server_pointer const& server);
    void record_answer_of_suspect(gateway_request const& request,
                                  unsigned status,
                                  kernel::monotonic_time now);
    /// @returns whether a quarantined request may be sent as a trial run.
    [[nodiscard]] bool admit_trial_run(gateway_request const& request, kernel::monotonic_time now);
    void begin_trial_run(gateway_request& request, kernel::monotonic_time now);
    /// Ends the trial run of a request, if its last send is one.
    /// @param is_unresolved whether the run may have begun and did not end with an answer.
    void end_trial_run(gateway_request& request, bool is_unresolved);
    void log_suspect_sent(gateway_request const& request,
                          std::size_t crashes,
                          kernel::monotonic_time now);
    void log_malformed_notice(known_server& server);
    void
    apply_pause(known_server& server, std::chrono::milliseconds wanted, kernel::monotonic_time now);
    void apply_limit(known_server& server,
                     std::optional<double> const& named,
                     kernel::monotonic_time now);
    void update_limit_share(known_server& server, kernel::monotonic_time now);
    void update_limit_shares(kernel::monotonic_time now);
    /// Notes servers that ended without notice, while the cause of a failed trial is judged.
    void record_lost_servers(events::store_update<fleet::backend_server> const& update,
                             kernel::monotonic_time now);
    /// Applies what another host, or an earlier process of this one, published.
    void apply_decisions_of(fleet::entry_host const& host, kernel::monotonic_time now);
    void apply_reports_of(fleet::entry_host const& host, kernel::monotonic_time now);
    void log_quarantines(std::span<std::uint64_t const> fingerprints,
                         std::string_view source,
                         kernel::monotonic_time now);
    /// @param cause why it changed on this daemon.
    void log_decision(fleet::quarantined_request const& decision,
                      std::string_view cause,
                      kernel::monotonic_time now);
    [[nodiscard]] moment moment_of(kernel::monotonic_time now) const;
    /// Publishes what this daemon knows of crashes, unless it has published just that.
    void publish_crashes();
    void forget_runs_of_removed_routes();
    void log_added_server(std::string const& id);
    void log_lost_servers(std::vector<std::string> const& ids, std::string_view cause);
    [[nodiscard]] bool admit_cold_request(known_server& server, kernel::monotonic_time now);

    std::string m_own_name;
    /// Number of regions in the settings.
    std::size_t m_region_count = 0;
    kernel::gateway_bounds m_bounds;
    bool m_has_stable_placement = false;
    bool m_has_fair_admission = false;
    dispatcher_actions m_actions;
    kernel::metrics& m_metrics;
    kernel::log_limiter m_request_log;

    customer_quotas m_quotas;
    crash_watch m_crashes;
    fleet::crash_knowledge m_published_crashes;
    bool m_has_restored_reports = false;
    std::shared_ptr<routing::routing_table const> m_table;
    customer::contact m_contact;
    bool m_trusts_configuration = true;
    server_table m_servers;
    host_table m_hosts;
    routing::text_map<service_state> m_services;
    routing::text_map<weighted_round_robin> m_round_robins;
    /// Requests by deadline. Each has two entries: the end of its target latency, when it is
    /// refused if it still waits, and the time by which it must be answered.
    std::multimap<kernel::monotonic_time, std::weak_ptr<gateway_request>> m_deadlines;
    /// Hosts among which fleet-wide budgets are split; empty while they are unknown.
    std::vector<std::string> m_sharing_hosts;
    kernel::monotonic_time m_last_adaptation;
    /// Requests that wait for the first configuration and servers, in the order of arrival.
    std::list<request_pointer> m_held;
    bool m_has_start_failed = false;
    /// Missing unless the process is about to end.
    std::optional<service_end> m_service_end;
    std::size_t m_open_requests = 0;
};

} // namespace pistachiohub::gateway
