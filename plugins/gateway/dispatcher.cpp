#include "plugins/gateway/dispatcher.hpp"

#include "plugins/gateway/affinity.hpp"
#include "plugins/gateway/cold_allowance.hpp"
#include "plugins/gateway/server_answer.hpp"
#include "plugins/gateway/server_choice.hpp"
#include "plugins/memory/server_bytes.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <set>
#include <tuple>

namespace pistachiohub::gateway
{

namespace
{

using std::chrono::milliseconds;
using seconds_value = std::chrono::duration<double>;

// Interval at which the smoothed utilisation and the spillover fractions are updated.
constexpr auto adaptation_interval = milliseconds(250);
// Interval at which waiting requests are tried again, for slots that other daemons have released.
constexpr auto waiting_poll_interval = milliseconds(20);
// Weight of the newest sample in the moving average of the run time.
constexpr double smoothing_factor = 0.2;
// Maximum number of requests that wait for the first configuration; bounds the memory.
constexpr std::size_t max_held = 512;
// Fractions of the target latency for which a request waits for the servers of its object before it
// may use one of another failure domain or region.
constexpr double domain_wait_fraction = 0.5;
constexpr double region_wait_fraction = 0.6;
// The same for the queue of its second server, with stable placement.
constexpr double last_resort_fraction = 0.25;
// Time before the deadline of the caller by which the answer is sent, so that the caller can read
// it.
constexpr auto answer_margin = milliseconds(25);
// Token bucket for sends to another region: tokens added by each request, and capacity. Together
// with the spillover of objects these sends stay within the permitted shift between regions.
constexpr double cross_region_tokens_per_request = 0.03;
constexpr double max_cross_region_tokens = 4;
// Time for which a request waits for the first configuration and servers. A restarted process has
// read them within 0.1 to 0.3 s, and a caller that is refused may find the next host restarting
// too.
constexpr auto max_hold = milliseconds(400);
// Number of missed heartbeats after which the registration of a server lapses.
constexpr int heartbeats_until_lapse = 3;
// Limit of log lines per second for requests, whether they were served or not.
constexpr double request_log_lines_per_second = 100;

std::int64_t ms_between(kernel::monotonic_time from, kernel::monotonic_time to)
{
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

server_failure failure_of(attempt_end const& end)
{
    constexpr unsigned misdirected = 421;
    if (end.result == attempt_result::never_sent)
        return server_failure::unreachable;
    bool const is_replaced =
        end.result == attempt_result::not_started && end.received.status == misdirected;
    return is_replaced ? server_failure::replaced : server_failure::request_failed;
}

// A service without a description can be served; the requests for one whose description cannot be
// read must wait for the next configuration.
bool is_readable_service(routing::routing_table const& table, std::string_view name)
{
    auto const* const service = routing::find_service(table, name);
    return !name.empty() && (service == nullptr || service->is_readable);
}

bool is_error(unsigned status)
{
    constexpr unsigned first_error = 400;
    return status >= first_error;
}

} // namespace

std::string_view to_string(attempt_result value)
{
    // In the order of the enumeration.
    constexpr std::array<std::string_view, 4> names{
        "answered", "not_started", "never_sent", "broken"};
    return names.at(static_cast<std::size_t>(value));
}

outcome known_outcome(gateway_request const& request)
{
    if (request.is_run_proven)
        return outcome::ran;
    return request.may_have_run ? outcome::unresolved : outcome::not_run;
}

dispatcher::dispatcher(kernel::settings const& own,
                       dispatcher_actions actions,
                       kernel::metrics& metrics)
    : m_own_name(own.name)
    , m_bounds(own.gateway->bounds)
    , m_has_stable_placement(own.gateway->placement == kernel::placement_rule::stable)
    , m_has_fair_admission(own.gateway->admission == kernel::admission_rule::fair)
    , m_actions(std::move(actions))
    , m_metrics(metrics)
    , m_request_log(request_log_lines_per_second)
    , m_quotas(m_bounds, metrics)
    , m_contact(customer::make_contact(m_bounds))
{
    m_servers.own_domain = own.failure_domain;
    m_servers.own_region = own.gateway->region;
    m_servers.region_of_domain = own.gateway->region_of_domain;
    std::set<std::string_view> regions;
    for (auto const& [domain, region] : own.gateway->region_of_domain)
        regions.insert(region);
    m_region_count = regions.size();
    m_servers.registration_ttl = heartbeats_until_lapse * own.gateway->server_heartbeat;
    m_crashes.lapse_time = m_servers.registration_ttl;
    m_crashes.own_host = own.name;
    m_hosts.own.name = own.name;
    m_hosts.own.callers = own.gateway->callers;
    m_hosts.own.failure_domain = own.failure_domain;
    m_hosts.own.region = own.gateway->region;
    m_hosts.own.capacity = kernel::serving_capacity(own.gateway->resources);
}

void dispatcher::set_awaited_server(gateway_request& request, server_pointer const& server)
{
    if (request.awaited_server)
        --request.awaited_server->own_queued;
    request.awaited_server = server;
    if (request.awaited_server)
        ++request.awaited_server->own_queued;
}

service_state& dispatcher::state_of(std::string const& service)
{
    return m_services[service];
}

bool dispatcher::is_starting() const
{
    bool const has_servers = m_servers.is_loaded || !m_servers.servers.empty();
    return !m_has_start_failed && (!m_table || !has_servers || awaits_confirmation());
}

void dispatcher::begin(request_pointer const& request, kernel::monotonic_time now)
{
    ++m_open_requests;
    if (is_starting() && m_held.size() < max_held)
        return hold(request);
    admit(request, now);
}

void dispatcher::hold(request_pointer const& request)
{
    request->answer_deadline = request->caller_deadline - answer_margin;
    request->give_up_at =
        std::min<kernel::monotonic_time>(request->answer_deadline, request->arrived_at + max_hold);
    request->state = request_state::waiting;
    m_deadlines.emplace(request->give_up_at, request);
    m_held.push_back(request);
}

void dispatcher::release_held(kernel::monotonic_time now)
{
    for (auto const& request : std::exchange(m_held, {}))
    {
        // Answering one request may end another one of the same caller.
        if (request->state != request_state::ended)
            admit(request, now);
    }
}

void dispatcher::start_failed(kernel::monotonic_time now)
{
    m_has_start_failed = true;
    release_held(now);
}

void dispatcher::admit(request_pointer const& request, kernel::monotonic_time now)
{
    request->table = m_table;
    request->answer_deadline = request->caller_deadline;
    if (!m_table)
        return refuse(request, refusal::no_configuration, now);
    request->route = routing::find_route(
        *m_table, find_header_value(request->message.headers, "Host"), request->message.target);
    if (request->route == nullptr)
        return refuse(request,
                      m_table->document.has_unplaced_route ? refusal::unreadable_configuration
                                                           : refusal::no_route,
                      now);
    auto const& route = *request->route;
    if (!route.is_readable)
        return refuse(request, refusal::unreadable_configuration, now);
    request->answer_deadline =
        std::min(request->caller_deadline - answer_margin, request->arrived_at + route.timeout);
    if (!route.has_affinity)
        request->affinity_key.reset();
    auto const part =
        route.split.size() == 1 ? 0 : select_next_part(m_round_robins[route.name], route.split);
    if (!is_readable_service(*m_table, route.split[part].service))
        return refuse(request, refusal::unreadable_configuration, now);
    request->service = route.split[part].service;
    if (auto const cause = identify_customer(*request, now))
        return refuse(request, *cause, now);
    request->give_up_at =
        std::min(request->answer_deadline, request->arrived_at + route.target_latency);
    // It may have stood behind a long answer on its connection.
    if (request->answer_deadline <= now)
        return refuse(request, refusal::waited_too_long, now);
    m_deadlines.emplace(request->answer_deadline, request);
    m_deadlines.emplace(request->give_up_at, request);
    auto& state = state_of(request->service);
    if (!can_end_in_service(*request, now))
        return refuse(request, refusal::leaving, now);
    if (!m_quotas.try_admit(*request, now))
        return refuse(request, refusal::over_quota, now);
    record_asked(*request, now);
    if (!state.spill.is_started)
        start_spill_of(request->service, state, now);
    record_request(state.retries, {m_bounds.retry_ratio, 0, m_bounds.retry_window}, now);
    state.cross_region_tokens = std::min(
        state.cross_region_tokens + cross_region_tokens_per_request, max_cross_region_tokens);
    dispatch(request, now);
}

bool dispatcher::can_end_in_service(gateway_request const& request,
                                    kernel::monotonic_time now) const
{
    if (!m_service_end)
        return true;
    std::optional<kernel::duration> longest_run;
    if (auto const state = m_services.find(request.service); state != m_services.end())
    {
        auto const& runs = state->second.runs_of_route;
        if (auto const found = runs.find(request.route->name); found != runs.end())
            longest_run = longest_recent_run(found->second, now);
    }
    return gateway::can_end_in_service(*m_service_end, request.answer_deadline, longest_run, now);
}

void dispatcher::record_run_of(gateway_request const& request,
                               bool has_succeeded,
                               kernel::monotonic_time now)
{
    auto& history = state_of(request.service).runs_of_route[request.route->name];
    if (has_succeeded)
        record_run(history, now - request.sent_at, now);
    else
        record_failed_run(history, now - request.sent_at, now);
}

bool dispatcher::admit_cold_request(known_server& server, kernel::monotonic_time now)
{
    auto const* const service = routing::find_service(*m_table, server.record.service);
    if (service == nullptr)
        return false;
    auto const max_requests =
        service->cold_requests_per_second * m_bounds.cold_factor + m_bounds.cold_slack;
    if (m_sharing_hosts.empty())
        return false;
    auto const position = daemon_rank_for_server(server.record.id, m_own_name, m_sharing_hosts);
    return try_admit_cold_request(
        server, cold_request_share(max_requests, position, m_sharing_hosts.size()), now);
}

bool dispatcher::try_send(request_pointer const& request,
                          kernel::monotonic_time now,
                          std::size_t servers_per_object,
                          bool is_last_resort)
{
    if (gateway::is_quarantined(m_crashes, *request, now) && !admit_trial_run(*request, now))
    {
        refuse(request, refusal::quarantined, now);
        return false;
    }
    if (!can_end_in_service(*request, now))
    {
        refuse(request, refusal::leaving, now);
        return false;
    }
    auto& state = state_of(request->service);
    auto const waited = seconds_value(now - request->arrived_at);
    auto const target = seconds_value(request->route->target_latency);
    choice_input input;
    input.sample =
        request->affinity_key ? uniform_sample_of_key(*request->affinity_key) : m_actions.random();
    input.spill = state.spill;
    input.may_leave_domain = request->sends > 0 || waited > domain_wait_fraction * target;
    input.may_leave_region = state.cross_region_tokens >= 1 &&
                             (request->sends > 0 || waited > region_wait_fraction * target);
    input.queue_per_slot = queue_per_slot(state.smoothed_run_seconds, target.count());
    input.run_seconds = state.smoothed_run_seconds;
    input.servers_per_object = servers_per_object;
    input.is_stable = m_has_stable_placement;
    input.is_last_resort = is_last_resort || waited > last_resort_fraction * target;
    input.request_bytes = request->message.body.size();
    input.now = now;
    auto chosen = choose_server(m_servers,
                                *request,
                                input,
                                [this, now](known_server& server)
                                {
                                    return admit_cold_request(server, now);
                                });
    if (chosen.failure == choice_failure::no_server)
    {
        refuse(request, request->sends > 0 ? refusal::not_started : refusal::no_server, now);
        return false;
    }
    set_awaited_server(*request, chosen.server ? nullptr : chosen.preferred);
    if (!request->is_region_counted)
        count_assigned(*request, chosen.server ? *chosen.server : *chosen.preferred);
    if (!chosen.server)
        return false;
    if (chosen.first && request->sends == 0)
        count_move(*request, chosen, now);
    // A send takes a token if it was permitted to leave the region for lack of room. Without that
    // permission it goes to another region only because its object is placed there.
    if (input.may_leave_region && chosen.server->proximity == distance::other_region)
        state.cross_region_tokens = std::max(0.0, state.cross_region_tokens - 1);
    request->server = std::move(chosen.server);
    send(request, now);
    return true;
}

void dispatcher::send(request_pointer const& request, kernel::monotonic_time now)
{
    request->state = request_state::running;
    request->is_answer_whole = false;
    request->sent_at = now;
    ++request->sends;
    record_started(*request, now);
    request->tried_servers.push_back(request->server->record.id);
    ++request->server->own_in_flight;
    request->server->upload_bytes += memory::counted_bytes(request->message.body.size());
    if (request->server->limit)
        record_sent(*request->server->limit, now, m_actions.random);
    if (request->sends == 1)
        ++served_counts_at(state_of(request->service), *request->server).sent;
    ++state_of(request->service).running;
    if (auto const crashes = counted_crashes(m_crashes, *request, now); crashes > 0)
        log_suspect_sent(*request, crashes, now);
    if (gateway::is_quarantined(m_crashes, *request, now))
        begin_trial_run(*request, now);
    request->run_deadline = m_service_end
                                ? run_deadline_in_service(*m_service_end, request->answer_deadline)
                                : request->answer_deadline;
    auto const remaining = std::max<std::int64_t>(ms_between(now, request->run_deadline), 1);
    m_actions.send(request, milliseconds(remaining));
}

void dispatcher::release_slot(request_pointer const& request)
{
    assert(request->server && request->server->own_in_flight > 0);
    --request->server->own_in_flight;
    request->server->upload_bytes -= memory::counted_bytes(request->message.body.size());
    --state_of(request->service).running;
}

void dispatcher::stream_began(gateway_request& request, kernel::monotonic_time now)
{
    request.stream_began_at = now;
    m_metrics.find_counter("pistachiohub_gateway_streamed_answers_total").increment();
}

void dispatcher::attempt_ended(request_pointer const& request,
                               attempt_end&& end,
                               kernel::monotonic_time now)
{
    if (request->state != request_state::running)
        return;
    release_slot(request);
    bool const is_success =
        end.result == attempt_result::answered && !is_error(end.received.status);
    bool const is_proven_not_run =
        end.result == attempt_result::not_started || end.result == attempt_result::never_sent;
    end_trial_run(*request, !is_success && !is_proven_not_run);
    auto& server = *request->server;
    if (end.reported_load)
        record_load(server, *end.reported_load, now);
    auto& state = state_of(request->service);
    if (end.result == attempt_result::answered)
    {
        record_success(server);
        // A server may fail before it begins the run, so that an error proves nothing of the
        // request.
        if (is_success)
            record_answer_of_suspect(*request, end.received.status, now);
        request->is_run_proven = true;
        request->is_answer_whole = true;
        record_run_of(*request, !is_error(end.received.status), now);
        // The time of a large answer depends on how fast its caller reads.
        auto const run_seconds =
            seconds_value(request->stream_began_at.value_or(now) - request->sent_at).count();
        state.smoothed_run_seconds += (state.smoothed_run_seconds == 0 ? 1 : smoothing_factor) *
                                      (run_seconds - state.smoothed_run_seconds);
        record_work(*request, run_seconds);
    }
    else
    {
        record_failure(m_servers, server, failure_of(end), now);
        if (end.result == attempt_result::broken)
            record_broken_send(*request, now);
    }
    auto const service = request->service;
    bool const is_retried = use_of_answer(request->route->kind, end.received.status).is_retried;
    if (end.result != attempt_result::answered || is_retried)
        retry_or_fail(request, std::move(end), now);
    else
        deliver(request, std::move(end.received), "served", now);
    send_waiting(service, now);
}

bool dispatcher::may_retry(request_pointer const& request,
                           attempt_result result,
                           kernel::monotonic_time now)
{
    if (request->stream_began_at)
        return false;
    bool const is_proven_not_run =
        result == attempt_result::not_started || result == attempt_result::never_sent;
    if (!is_proven_not_run && request->route->kind == routing::request_kind::at_most_once)
        return false;
    if (request->sends >= request->route->most_attempts && result != attempt_result::never_sent)
        return false;
    if (now + min_run_time >= request->answer_deadline || !can_end_in_service(*request, now))
        return false;
    // A send that never reached a backend server adds no load, so it takes nothing from the budget.
    if (result == attempt_result::never_sent)
        return true;
    auto const extra = m_sharing_hosts.empty() ? 0 : m_bounds.extra_retries;
    return try_retry(state_of(request->service).retries,
                     {m_bounds.retry_ratio, extra, m_bounds.retry_window},
                     m_sharing_hosts.size(),
                     now);
}

void dispatcher::retry_or_fail(request_pointer const& request,
                               attempt_end&& end,
                               kernel::monotonic_time now)
{
    bool const may_have_started =
        end.result == attempt_result::answered || end.result == attempt_result::broken;
    request->may_have_run = request->may_have_run || may_have_started;
    if (end.result == attempt_result::never_sent)
        --request->sends;
    bool const is_retried = may_retry(request, end.result, now);
    m_metrics
        .find_counter(is_retried ? "pistachiohub_gateway_retries_total"
                                 : "pistachiohub_gateway_failed_sends_total",
                      {"reason", to_string(end.result)})
        .increment();
    if (m_request_log.admit(now))
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          is_retried ? "request_retried" : "send_failed",
                          {{"id", std::string_view(request->id)},
                           {"server", std::string_view(request->server->record.id)},
                           {"result", to_string(end.result)},
                           {"detail", end.detail},
                           {"status", end.received.status},
                           {"sends", request->sends},
                           {"server_version", request->server->version},
                           {"sent_ms_ago", ms_between(request->sent_at, now)}});
    if (is_retried)
    {
        request->state = request_state::waiting;
        return dispatch(request, now);
    }
    if (end.result == attempt_result::answered)
        return deliver(request, std::move(end.received), "server_failure", now);
    refuse(request, request->may_have_run ? refusal::broken_off : refusal::not_started, now);
}

void dispatcher::deliver(request_pointer const& request,
                         answer&& received,
                         std::string_view outcome,
                         kernel::monotonic_time now)
{
    if (use_of_answer(request->route->kind, received.status).is_passed_on)
        return finish(request, std::move(received), outcome, now);
    constexpr auto cause = refusal::unproven_refusal;
    m_metrics.find_counter("pistachiohub_gateway_refusals_total", {"reason", to_string(cause)})
        .increment();
    if (m_request_log.admit(now))
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          "answer_withheld",
                          {{"id", std::string_view(request->id)},
                           {"server", std::string_view(request->server->record.id)},
                           {"status", received.status},
                           {"reason", to_string(cause)},
                           {"suppressed", m_request_log.take_suppressed()}});
    finish(request, make_refusal(cause, std::nullopt), to_string(cause), now);
}

void dispatcher::remove_waiting(request_pointer const& request)
{
    if (request->route == nullptr)
        m_held.remove(request);
    else
        state_of(request->service).waiting.remove(request);
}

void dispatcher::caller_gone(request_pointer const& request,
                             std::string_view cause,
                             kernel::monotonic_time now)
{
    if (request->state == request_state::ended)
        return;
    auto const service = request->service;
    bool const was_running = request->state == request_state::running;
    if (was_running)
    {
        record_run_of(*request, false, now);
        m_actions.cancel(request);
        release_slot(request);
        end_trial_run(*request, false);
    }
    else
        remove_waiting(request);
    request->may_have_run = request->may_have_run || was_running;
    end_request(*request);
    m_metrics.find_counter("pistachiohub_gateway_callers_gone_total", {"cause", cause}).increment();
    if (m_request_log.admit(now))
        kernel::log_event(
            kernel::log_level::info,
            "gateway",
            "caller_gone",
            {{"id", std::string_view(request->id)},
             {"cause", cause},
             {"was_running", static_cast<int>(was_running)},
             {"server", request->server ? std::string_view(request->server->record.id) : "-"},
             {"after_ms", ms_between(request->arrived_at, now)},
             {"run_ms", was_running ? ms_between(request->sent_at, now) : 0}});
    if (was_running)
        send_waiting(service, now);
}

void dispatcher::end_request(gateway_request& request)
{
    assert(request.state != request_state::ended);
    set_awaited_server(request, nullptr);
    request.state = request_state::ended;
    if (known_outcome(request) == outcome::not_run)
        m_quotas.give_back(request);
    --m_open_requests;
    // A request that was refused before it had a service concerns no backend server and is not
    // settled.
    if (!request.service.empty() && !request.id.empty())
        m_actions.settle(request, known_outcome(request));
}

void dispatcher::finish(request_pointer const& request,
                        answer&& response,
                        std::string_view outcome,
                        kernel::monotonic_time now)
{
    end_request(*request);
    m_metrics.find_counter("pistachiohub_gateway_requests_total", {"outcome", outcome}).increment();
    m_metrics.find_latency("pistachiohub_gateway_request_seconds", {"outcome", outcome})
        .observe(seconds_value(now - request->arrived_at).count());
    if (m_request_log.admit(now))
    {
        auto const* const server = request->server.get();
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          "request_ended",
                          {{"id", std::string_view(request->id)},
                           {"outcome", outcome},
                           {"settled", to_string(known_outcome(*request))},
                           {"status", response.status},
                           {"route", request->route ? std::string_view(request->route->name) : "-"},
                           {"service", std::string_view(request->service)},
                           {"server", server ? std::string_view(server->record.id) : "-"},
                           {"object", request->affinity_key.value_or(0)},
                           {"server_version", server ? server->version : 0},
                           {"load", server ? estimated_load(*server, now) : 0},
                           {"load_age_ms", server ? ms_between(server->report.sent_at, now) : 0},
                           {"sends", request->sends},
                           {"configuration", request->table ? request->table->document.version : 0},
                           {"total_ms", ms_between(request->arrived_at, now)},
                           {"run_ms", request->sends > 0 ? ms_between(request->sent_at, now) : 0},
                           {"suppressed", m_request_log.take_suppressed()}});
    }
    if (!request->stream_began_at)
        return m_actions.reply(request, std::move(response));
    if (request->is_answer_whole)
        return m_actions.end_stream(request);
    m_actions.break_stream(request, std::move(response));
}

void dispatcher::end_expired(kernel::monotonic_time now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
    {
        auto const request = m_deadlines.begin()->second.lock();
        m_deadlines.erase(m_deadlines.begin());
        if (!request || request->state == request_state::ended)
            continue;
        // A run that starts after the target latency would take a slot from a request that can
        // still meet its own.
        if (request->state == request_state::waiting)
        {
            if (now < request->give_up_at)
                continue;
            remove_waiting(request);
            auto const unread = m_table ? refusal::no_server : refusal::no_configuration;
            refuse(request, request->route ? refusal::waited_too_long : unread, now);
            continue;
        }
        if (now < request->answer_deadline)
            continue;
        give_up_run(request, refusal::timed_out, now);
    }
}

void dispatcher::give_up_run(request_pointer const& request,
                             refusal cause,
                             kernel::monotonic_time now)
{
    request->may_have_run = true;
    record_run_of(*request, false, now);
    m_actions.cancel(request);
    release_slot(request);
    end_trial_run(*request, true);
    m_metrics.find_counter("pistachiohub_gateway_refusals_total", {"reason", to_string(cause)})
        .increment();
    finish(request, make_refusal(cause, std::nullopt), to_string(cause), now);
}

void dispatcher::end_service(kernel::monotonic_time now)
{
    // Each unanswered request has entries here. Ending one may end others of the same caller.
    for (auto const& [deadline, weak] : std::exchange(m_deadlines, {}))
    {
        auto const request = weak.lock();
        if (!request || request->state == request_state::ended)
            continue;
        if (request->state == request_state::running)
        {
            give_up_run(request, refusal::broken_off, now);
            continue;
        }
        remove_waiting(request);
        refuse(request, refusal::leaving, now);
    }
}

kernel::monotonic_time dispatcher::next_tick(kernel::monotonic_time now) const
{
    if (!m_held.empty() && !is_starting())
        return now;
    auto next = m_last_adaptation + adaptation_interval;
    if (!m_deadlines.empty())
        next = std::min(next, m_deadlines.begin()->first);
    for (auto const& [service, state] : m_services)
    {
        if (!state.waiting.empty())
            next = std::min<kernel::monotonic_time>(next, now + waiting_poll_interval);
    }
    return next;
}

void dispatcher::tick(kernel::monotonic_time now)
{
    if (!is_starting())
        release_held(now);
    m_quotas.tick(m_table, m_bounds, m_sharing_hosts.size(), now);
    end_expired(now);
    log_lost_servers(remove_expired(m_servers, now), "missing_after_outage");
    for (auto const& domain : end_lost_evacuations(m_servers, now))
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          "evacuation_ended",
                          {{"failure_domain", std::string_view(domain)}, {"version", 0}});
    for (auto& [service, state] : m_services)
    {
        if (!state.waiting.empty())
            send_waiting(service, now);
    }
    if (now - m_last_adaptation < adaptation_interval)
        return;
    m_last_adaptation = now;
    update_trials(now);
    expire(m_crashes, now);
    m_sharing_hosts = budget_sharing_hosts(m_hosts, now);
    update_limit_shares(now);
    for (auto& [service, state] : m_services)
        update_utilisation(service, state, now);
}

} // namespace pistachiohub::gateway
