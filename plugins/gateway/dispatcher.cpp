#include "plugins/gateway/dispatcher.hpp"

#include "plugins/gateway/affinity.hpp"
#include "plugins/gateway/cold_allowance.hpp"
#include "plugins/gateway/server_choice.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <set>

namespace pistachiohub::gateway
{

namespace
{

using std::chrono::milliseconds;
using seconds_value = std::chrono::duration<double>;

// Interval at which the load is smoothed and parts of the objects move.
constexpr auto adapt_interval = milliseconds(250);
// Interval at which waiting requests look for slots that others have left.
constexpr auto waiting_interval = milliseconds(20);
// Weight of the newest value of the smoothed time of a run.
constexpr double smoothing = 0.2;
// Requests that wait for one service at most; bounds the memory and the time of one pass.
constexpr std::size_t most_waiting = 512;
// Waiting requests without room that one pass looks at.
constexpr std::size_t most_looked_at = 48;
// Part of the target latency for which a request waits for the servers of its object, before it
// takes one of another failure domain or region.
constexpr double patience_for_domain = 0.5;
constexpr double patience_for_region = 0.6;
// Part of the target latency that a request may wait in a server's queue. Slots that come free
// there are taken at once, while a daemon hears of them later and other daemons are as near.
constexpr double longest_server_queue = 0.25;
// Requests that may wait at a server for each slot; queues of servers are a few times as long.
constexpr double most_queue_per_slot = 1;
// Part of the target latency that a request may wait at most when it begins to wait. The rest is
// for its run.
constexpr double longest_wait = 0.6;
// Time before the caller leaves at which it must have its answer, to read it in time.
constexpr auto answer_margin = milliseconds(25);
// Permissions for sends to another region: earned by each request, and the most that are saved.
// With the part of the objects that moves they stay within the permitted shift.
constexpr double far_sends_per_request = 0.03;
constexpr double most_far_sends = 4;
// Time before the end of a request in which no backend server can do anything useful.
constexpr auto shortest_run = milliseconds(20);
constexpr auto shortest_retry_after = milliseconds(100);
constexpr auto longest_retry_after = milliseconds(2000);
// Heartbeats that a server misses before its registration lapses.
constexpr int heartbeats_of_lapse = 3;
// Lines a second for requests that were served and for those that were not.
constexpr double request_lines_per_second = 100;

bool comes_before(request_pointer const& left, request_pointer const& right)
{
    if (left->route->priority != right->route->priority)
        return left->route->priority < right->route->priority;
    return left->arrived_at < right->arrived_at;
}

std::int64_t ms_between(kernel::monotonic_time from, kernel::monotonic_time to)
{
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

double queue_per_slot(double run_seconds, double target_seconds)
{
    // Nothing is known before the first answer, when all servers are cold.
    if (run_seconds <= 0)
        return 0;
    return std::min(longest_server_queue * target_seconds / run_seconds, most_queue_per_slot);
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

bool is_server_failure(unsigned status)
{
    constexpr unsigned first_server_error = 500;
    return status >= first_server_error;
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
    , m_actions(std::move(actions))
    , m_metrics(metrics)
    , m_request_log(request_lines_per_second)
{
    m_servers.own_domain = own.failure_domain;
    m_servers.own_region = own.gateway->region;
    m_servers.region_of_domain = own.gateway->region_of_domain;
    std::set<std::string_view> regions;
    for (auto const& [domain, region] : own.gateway->region_of_domain)
        regions.insert(region);
    m_regions = regions.size();
    m_servers.entry_lapse = heartbeats_of_lapse * own.gateway->server_heartbeat;
    m_hosts.own.name = own.name;
    m_hosts.own.callers = own.gateway->callers;
    m_hosts.own.failure_domain = own.failure_domain;
    m_hosts.own.region = own.gateway->region;
}

void dispatcher::set_waiting(gateway_request& request, server_pointer const& server)
{
    if (request.awaited_server)
        --request.awaited_server->own_waiting;
    request.awaited_server = server;
    if (request.awaited_server)
        ++request.awaited_server->own_waiting;
}

service_state& dispatcher::state_of(std::string const& service)
{
    return m_services[service];
}

void dispatcher::begin(request_pointer const& request, kernel::monotonic_time now)
{
    ++m_open;
    request->table = m_table;
    request->answer_deadline = request->caller_deadline;
    if (!m_table)
        return refuse(request, refusal::no_configuration, now);
    request->route = routing::find_route(
        *m_table, find_header_value(request->message.headers, "Host"), request->message.target);
    if (request->route == nullptr)
        return refuse(request, refusal::no_route, now);
    auto const& route = *request->route;
    request->answer_deadline =
        std::min(request->caller_deadline - answer_margin, request->arrived_at + route.timeout);
    if (!route.has_affinity)
        request->affinity_key.reset();
    auto const part = route.split.size() == 1 ? 0 : next_part(m_rotations[route.name], route.split);
    request->service = route.split[part].service;
    m_due.emplace(request->answer_deadline, request);
    m_due.emplace(std::min(request->answer_deadline, request->arrived_at + route.target_latency),
                  request);
    auto& state = state_of(request->service);
    if (!state.spill.is_started)
        start_spill_of(request->service, state, now);
    record_request(state.retries, {m_bounds.retry_ratio, 0, m_bounds.retry_window}, now);
    state.far_sends = std::min(state.far_sends + far_sends_per_request, most_far_sends);
    dispatch(request, now);
}

void dispatcher::dispatch(request_pointer const& request, kernel::monotonic_time now)
{
    // Requests that wait have the next slot, unless this one has a higher priority.
    if (!try_send(request, now) && request->state != request_state::ended)
        wait(request, now);
}

bool dispatcher::may_send_cold(known_server& server, kernel::monotonic_time now)
{
    auto const* const service = routing::find_service(*m_table, server.record.service);
    if (service == nullptr)
        return false;
    auto const most =
        service->cold_requests_per_second * m_bounds.cold_factor + m_bounds.cold_slack;
    if (m_sharing_hosts.empty())
        return false;
    auto const position = cold_position(server.record.id, m_own_name, m_sharing_hosts);
    return try_send_cold(server, cold_share(most, position, m_sharing_hosts.size()), now);
}

bool dispatcher::try_send(request_pointer const& request, kernel::monotonic_time now)
{
    if (gateway::is_quarantined(m_crashes, *request, now))
    {
        refuse(request, refusal::quarantined, now);
        return false;
    }
    auto& state = state_of(request->service);
    auto const waited = seconds_value(now - request->arrived_at);
    auto const target = seconds_value(request->route->target_latency);
    choice_input input;
    input.position =
        request->affinity_key ? position_of_key(*request->affinity_key) : m_actions.random();
    input.spill = state.spill;
    input.may_leave_domain = request->sends > 0 || waited > patience_for_domain * target;
    input.may_leave_region =
        state.far_sends >= 1 && (request->sends > 0 || waited > patience_for_region * target);
    input.queue_per_slot = queue_per_slot(state.run_seconds, target.count());
    input.now = now;
    auto chosen = choose_server(m_servers,
                                *request,
                                input,
                                [this, now](known_server& server)
                                {
                                    return may_send_cold(server, now);
                                });
    if (chosen.failure == choice_failure::no_server)
    {
        refuse(request, request->sends > 0 ? refusal::not_started : refusal::no_server, now);
        return false;
    }
    set_waiting(*request, chosen.server ? nullptr : chosen.preferred);
    if (!request->is_region_counted)
        count_wanted(*request, chosen.server ? *chosen.server : *chosen.preferred);
    if (!chosen.server)
        return false;
    // A send to another region for want of room, and not because its object lives there.
    if (input.may_leave_region && chosen.server->how_far == distance::other_region)
        state.far_sends = std::max(0.0, state.far_sends - 1);
    request->server = std::move(chosen.server);
    send(request, now);
    return true;
}

void dispatcher::send(request_pointer const& request, kernel::monotonic_time now)
{
    request->state = request_state::running;
    request->sent_at = now;
    ++request->sends;
    request->tried_servers.push_back(request->server->record.id);
    ++request->server->own_running;
    if (request->sends == 1)
        ++count_at(state_of(request->service), *request->server).sent;
    ++state_of(request->service).running;
    auto const remaining = std::max<std::int64_t>(ms_between(now, request->answer_deadline), 1);
    m_actions.send(request, milliseconds(remaining));
}

void dispatcher::wait(request_pointer const& request, kernel::monotonic_time now)
{
    auto& state = state_of(request->service);
    assert(request->awaited_server);
    // It does not stand before itself.
    --request->awaited_server->own_waiting;
    auto const wait_seconds =
        expected_wait_seconds(*request->awaited_server, state.run_seconds, now);
    ++request->awaited_server->own_waiting;
    auto const waited = seconds_value(now - request->arrived_at).count();
    auto const target = seconds_value(request->route->target_latency).count();
    bool const is_hopeless = state.waiting.size() >= most_waiting ||
                             waited + wait_seconds > longest_wait * target ||
                             now + shortest_run >= request->answer_deadline;
    if (is_hopeless)
        return refuse(request, refusal::no_room, now);
    request->state = request_state::waiting;
    state.waiting.insert(
        std::upper_bound(state.waiting.begin(), state.waiting.end(), request, comes_before),
        request);
}

void dispatcher::send_waiting(std::string const& service, kernel::monotonic_time now)
{
    auto& state = state_of(service);
    std::size_t looked_at = 0;
    for (auto next = state.waiting.begin();
         next != state.waiting.end() && looked_at < most_looked_at;)
    {
        auto const request = *next;
        // Sending or refusing it does not touch the list, so the position stays valid.
        bool const is_done = try_send(request, now) || request->state == request_state::ended;
        next = is_done ? state.waiting.erase(next) : std::next(next);
        looked_at += is_done ? 0 : 1;
    }
}

void dispatcher::leave_server(request_pointer const& request)
{
    assert(request->server && request->server->own_running > 0);
    --request->server->own_running;
    --state_of(request->service).running;
}

void dispatcher::attempt_ended(request_pointer const& request,
                               attempt_end&& end,
                               kernel::monotonic_time now)
{
    if (request->state != request_state::running)
        return;
    leave_server(request);
    auto& server = *request->server;
    if (end.reported_load)
        record_load(server, *end.reported_load, now);
    auto& state = state_of(request->service);
    if (end.result == attempt_result::answered)
    {
        record_success(server);
        note_answer(m_crashes, *request);
        request->is_run_proven = true;
        auto const ran = seconds_value(now - request->sent_at).count();
        state.run_seconds += (state.run_seconds == 0 ? 1 : smoothing) * (ran - state.run_seconds);
    }
    else
    {
        record_failure(m_servers, server, failure_of(end), now);
        if (end.result == attempt_result::broken)
            note_broken_send(*request, now);
    }
    auto const service = request->service;
    bool const is_repeatable_failure = end.result == attempt_result::answered &&
                                       is_server_failure(end.received.status) &&
                                       request->route->kind == routing::request_kind::idempotent;
    if (end.result != attempt_result::answered || is_repeatable_failure)
        retry_or_fail(request, std::move(end), now);
    else
        finish(request, std::move(end.received), "served", now);
    send_waiting(service, now);
}

bool dispatcher::may_retry(request_pointer const& request,
                           attempt_result result,
                           kernel::monotonic_time now)
{
    bool const is_proven =
        result == attempt_result::not_started || result == attempt_result::never_sent;
    if (!is_proven && request->route->kind == routing::request_kind::at_most_once)
        return false;
    if (request->sends >= request->route->most_attempts && result != attempt_result::never_sent)
        return false;
    if (now + shortest_run >= request->answer_deadline)
        return false;
    // A request that never reached a backend server is no further send there.
    if (result == attempt_result::never_sent)
        return true;
    auto const extra = m_sharing_hosts.empty() ? 0 : m_bounds.extra_retries;
    return try_repeat(state_of(request->service).retries,
                      {m_bounds.retry_ratio, extra, m_bounds.retry_window},
                      m_sharing_hosts.size(),
                      now);
}

void dispatcher::retry_or_fail(request_pointer const& request,
                               attempt_end&& end,
                               kernel::monotonic_time now)
{
    bool const has_started =
        end.result == attempt_result::answered || end.result == attempt_result::broken;
    request->may_have_run = request->may_have_run || has_started;
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
        return finish(request, std::move(end.received), "server_failure", now);
    refuse(request, request->may_have_run ? refusal::broken_off : refusal::not_started, now);
}

void dispatcher::caller_gone(request_pointer const& request, kernel::monotonic_time now)
{
    if (request->state == request_state::ended)
        return;
    auto const service = request->service;
    bool const was_running = request->state == request_state::running;
    if (was_running)
    {
        m_actions.cancel(request);
        leave_server(request);
    }
    else
        state_of(service).waiting.remove(request);
    request->may_have_run = request->may_have_run || was_running;
    close(*request);
    m_metrics.find_counter("pistachiohub_gateway_callers_gone_total").increment();
    if (m_request_log.admit(now))
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          "caller_gone",
                          {{"id", std::string_view(request->id)},
                           {"was_running", static_cast<int>(was_running)},
                           {"after_ms", ms_between(request->arrived_at, now)}});
    if (was_running)
        send_waiting(service, now);
}

void dispatcher::refuse(request_pointer const& request, refusal cause, kernel::monotonic_time now)
{
    // Status 503 promises that the request did not run, also in an earlier send.
    auto const honest = request->may_have_run ? refusal::broken_off : cause;
    auto made = make_refusal(honest, std::nullopt);
    constexpr unsigned not_run = 503;
    if (made.status == not_run)
        made = make_refusal(honest, retry_after(state_of(request->service)));
    m_metrics.find_counter("pistachiohub_gateway_refusals_total", {"reason", to_string(honest)})
        .increment();
    finish(request, std::move(made), to_string(cause), now);
}

milliseconds dispatcher::retry_after(service_state const& state)
{
    auto const running = static_cast<double>(std::max<std::size_t>(state.running, 1));
    auto const wait = (static_cast<double>(state.waiting.size()) + 1) * state.run_seconds / running;
    // Callers that were refused together come back spread over the time in which slots come free.
    auto const spread = wait * (0.5 + m_actions.random());
    return std::clamp(std::chrono::duration_cast<milliseconds>(seconds_value(spread)),
                      shortest_retry_after,
                      longest_retry_after);
}

void dispatcher::close(gateway_request& request)
{
    assert(request.state != request_state::ended);
    set_waiting(request, nullptr);
    request.state = request_state::ended;
    --m_open;
    // Refusals without a service are no part of any settlement: no backend server is concerned.
    if (!request.service.empty() && !request.id.empty())
        m_actions.settle(request, known_outcome(request));
}

void dispatcher::finish(request_pointer const& request,
                        answer&& made,
                        std::string_view outcome,
                        kernel::monotonic_time now)
{
    close(*request);
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
                           {"status", made.status},
                           {"route", request->route ? std::string_view(request->route->name) : "-"},
                           {"service", std::string_view(request->service)},
                           {"server", server ? std::string_view(server->record.id) : "-"},
                           {"object", request->affinity_key.value_or(0)},
                           {"server_version", server ? server->version : 0},
                           {"load", server ? estimated_load(*server, now) : 0},
                           {"load_age_ms", server ? ms_between(server->report.at, now) : 0},
                           {"sends", request->sends},
                           {"configuration", request->table ? request->table->document.version : 0},
                           {"total_ms", ms_between(request->arrived_at, now)},
                           {"run_ms", request->sends > 0 ? ms_between(request->sent_at, now) : 0},
                           {"suppressed", m_request_log.take_suppressed()}});
    }
    m_actions.reply(request, std::move(made));
}

void dispatcher::end_overdue(kernel::monotonic_time now)
{
    while (!m_due.empty() && m_due.begin()->first <= now)
    {
        auto const request = m_due.begin()->second.lock();
        m_due.erase(m_due.begin());
        if (!request || request->state == request_state::ended)
            continue;
        // A run that begins after the target latency takes a slot from a request that is still in
        // time.
        if (request->state == request_state::waiting)
        {
            state_of(request->service).waiting.remove(request);
            refuse(request, refusal::waited_too_long, now);
            continue;
        }
        if (now < request->answer_deadline)
            continue;
        request->may_have_run = true;
        m_actions.cancel(request);
        leave_server(request);
        auto made = make_refusal(refusal::timed_out, std::nullopt);
        m_metrics
            .find_counter("pistachiohub_gateway_refusals_total",
                          {"reason", to_string(refusal::timed_out)})
            .increment();
        finish(request, std::move(made), to_string(refusal::timed_out), now);
    }
}

kernel::monotonic_time dispatcher::next_tick(kernel::monotonic_time now) const
{
    auto next = m_adapted_at + adapt_interval;
    if (!m_due.empty())
        next = std::min(next, m_due.begin()->first);
    for (auto const& [service, state] : m_services)
    {
        if (!state.waiting.empty())
            next = std::min<kernel::monotonic_time>(next, now + waiting_interval);
    }
    return next;
}

void dispatcher::tick(kernel::monotonic_time now)
{
    end_overdue(now);
    log_lost(expire_missing(m_servers, now), "missing_after_outage");
    for (auto& [service, state] : m_services)
    {
        if (!state.waiting.empty())
            send_waiting(service, now);
    }
    if (now - m_adapted_at < adapt_interval)
        return;
    m_adapted_at = now;
    expire(m_crashes, now);
    m_sharing_hosts = sharing_hosts(m_hosts, now);
    for (auto& [service, state] : m_services)
        update_utilisation(service, state, now);
}

} // namespace pistachiohub::gateway
