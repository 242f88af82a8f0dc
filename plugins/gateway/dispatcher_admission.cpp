/// @file
/// The part of the dispatcher that applies the decisions on waiting requests: their order, their
/// refusal, and when refused callers return.

#include "plugins/gateway/dispatcher.hpp"

#include <algorithm>
#include <cassert>
#include <span>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace pistachiohub::gateway
{

namespace
{

using std::chrono::milliseconds;
using seconds_value = std::chrono::duration<double>;

// Maximum number of waiting requests of one service; bounds the memory and the time of one pass.
constexpr std::size_t max_waiting = 512;
// Number of waiting requests without room after which a pass over the queue sends no more.
constexpr std::size_t max_blocked_per_pass = 48;
// The same when a request arrives. It is rare that the first have no room and a later one has, and
// arrivals are frequent.
constexpr std::size_t max_blocked_on_arrival = 3;
// Utilisation of the region's servers below which an object may use more of them. It is below the
// threshold at which objects leave the region, so that copies do not drive them out.
constexpr double spare_slots_threshold = 0.7;
// Fraction of the target latency within which a request must be expected to start when it is
// queued by priority. The rest is for its run.
constexpr double max_wait_fraction = 0.6;
constexpr auto min_retry_after = milliseconds(100);
constexpr auto max_retry_after = milliseconds(2000);

std::int64_t ms_between(kernel::monotonic_time from, kernel::monotonic_time to)
{
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

// Orders waiting requests by the priority of the customer, that of the route, and arrival.
bool comes_before(request_pointer const& left, request_pointer const& right)
{
    auto const rank = [](gateway_request const& request)
    {
        auto const of_customer = request.customer != nullptr ? request.customer->priority : 0;
        return std::tuple(of_customer, request.route->priority, request.arrived_at);
    };
    return rank(*left) < rank(*right);
}

bool has_spare_slots(service_state const& state)
{
    auto const& in_region = state.smoothed_utilisation.own_region;
    return in_region && *in_region < spare_slots_threshold;
}

admission::claim claim_of(gateway_request const& request, service_state const& state)
{
    auto const& route = *request.route;
    auto const* const customer = request.customer;
    return {customer != nullptr ? customer->priority : 0,
            route.priority,
            customer != nullptr ? std::string_view(customer->name) : std::string_view(),
            route.name,
            request.arrived_at,
            admission::latest_start(request.arrived_at, route.target_latency, state.work),
            route.target_latency};
}

// Returns the prediction for a request with `queued` requests of this daemon ahead of it. The time
// in the server's queue follows from the requests that may wait there.
admission::wait_input predict_start(gateway_request const& request,
                                    service_state const& state,
                                    double queued,
                                    kernel::monotonic_time now)
{
    auto const& server = *request.awaited_server;
    auto const target = seconds_value(request.route->target_latency).count();
    auto const work = state.work.mean;
    auto const start = expected_finish(server, work, queued, now).start;
    auto const server_queue =
        std::min(start, work * queue_per_slot(state.smoothed_run_seconds, target));
    auto wait = (start - server_queue) *
                admission::delay_factor(state.shares, claim_of(request, state), now);
    if (server.limit)
        wait = std::max(wait, seconds_until_permitted(*server.limit, now));
    wait = std::max(wait, seconds_value(server.paused_until - now).count());
    return {claim_of(request, state), wait, server_queue, work, false, queued};
}

// Returns the time in seconds after which this daemon's requests release another slot; 0 if
// unknown. Requests in the queues of the servers occupy no slot. With them, three hosts
// promised 2.3 times the slots that became free.
double slot_interval(service_state const& state,
                     std::span<server_pointer const> servers,
                     kernel::monotonic_time now)
{
    double running = 0;
    for (auto const& server : servers)
    {
        if (server->own_in_flight == 0)
            continue;
        auto const& total = server->report.total;
        auto const slots = static_cast<double>(total.slots.value_or(server->record.slots));
        auto const load = std::max(estimated_load(*server, now), 1.0);
        running += server->own_in_flight * std::min(1.0, slots / load) /
                   slowdown_factor(total.slowdown_percent, now - server->report.sent_at);
    }
    return state.work.mean / std::max(running, 1.0);
}

} // namespace

void dispatcher::record_asked(gateway_request const& request, kernel::monotonic_time now)
{
    auto& state = state_of(request.service);
    admission::record_asked(state.shares, claim_of(request, state), now);
}

void dispatcher::record_started(gateway_request& request, kernel::monotonic_time now)
{
    auto& state = state_of(request.service);
    if (request.sends == 1)
        admission::record_started(state.shares, claim_of(request, state), now);
    request.work_factor = expected_finish(*request.server, 1, 0, now).finish;
    if (auto const wait = std::exchange(request.predicted_wait, std::nullopt))
        admission::record_delay(state.shares,
                                claim_of(request, state),
                                wait->seconds,
                                seconds_value(now - wait->made_at).count(),
                                now);
}

void dispatcher::record_work(gateway_request const& request, double run_seconds)
{
    admission::record_work(state_of(request.service).work, run_seconds / request.work_factor);
}

void dispatcher::dispatch(request_pointer const& request, kernel::monotonic_time now)
{
    auto& state = state_of(request->service);
    if (!m_has_fair_admission)
    {
        if (!try_send(request, now) && request->state != request_state::ended)
            enqueue_by_priority(request, now);
        return;
    }
    // Without other requests that wait, the first server with room gets it.
    if (state.waiting.empty() && (try_send(request, now) || request->state == request_state::ended))
        return;
    if (state.waiting.size() >= max_waiting)
        return refuse(request, refusal::no_room, now);
    request->state = request_state::waiting;
    state.waiting.push_back(request);
    pass_queue(state, request, max_blocked_on_arrival, now);
}

bool dispatcher::keep_waiting(request_pointer const& request,
                              bool is_new,
                              double ahead,
                              kernel::monotonic_time now)
{
    auto& state = state_of(request->service);
    auto prediction = predict_start(*request, state, ahead, now);
    prediction.is_queued = !is_new;
    if (now + min_run_time >= request->answer_deadline || admission::is_too_late(prediction, now))
    {
        // Waits that were in vain count too; those that ended with a slot are the short ones.
        if (auto const wait = std::exchange(request->predicted_wait, std::nullopt))
            admission::record_delay(state.shares,
                                    prediction.waiting,
                                    wait->seconds,
                                    seconds_value(now - wait->made_at).count() +
                                        prediction.wait_seconds,
                                    now);
        refuse_without_room(request, prediction, now);
        return false;
    }
    if (is_new)
        request->predicted_wait = {
            prediction.wait_seconds /
                admission::delay_factor(state.shares, claim_of(*request, state), now),
            now};
    return true;
}

void dispatcher::refuse_without_room(request_pointer const& request,
                                     admission::wait_input const& prediction,
                                     kernel::monotonic_time now)
{
    auto& state = state_of(request->service);
    bool const is_sent = send_as_last_resort(request, now);
    // The attempt to send it may have refused it for another cause.
    if (is_sent || request->state == request_state::ended)
        return;
    if (m_request_log.admit(now))
        kernel::log_event(
            kernel::log_level::info,
            "gateway",
            "request_without_room",
            {{"id", std::string_view(request->id)},
             {"customer", request->customer ? std::string_view(request->customer->name) : "-"},
             {"route", std::string_view(request->route->name)},
             {"server", std::string_view(request->awaited_server->record.id)},
             {"load", estimated_load(*request->awaited_server, now)},
             {"waiting", state.waiting.size()},
             {"work_ms", std::int64_t(1000 * state.work.mean)},
             {"wait_ms", std::int64_t(1000 * prediction.wait_seconds)},
             {"server_queue_ms", std::int64_t(1000 * prediction.server_queue_seconds)},
             {"latest_start_ms", ms_between(now, prediction.waiting.latest_start)},
             {"waited_ms", ms_between(request->arrived_at, now)},
             {"suppressed", m_request_log.take_suppressed()}});
    refuse(request, refusal::no_room, now);
}

void dispatcher::sort_waiting(service_state& state, kernel::monotonic_time now)
{
    std::vector<std::pair<admission::rank, request_pointer>> ranked;
    for (auto const& request : state.waiting)
        ranked.emplace_back(admission::rank_of(state.shares, claim_of(*request, state), now),
                            request);
    std::stable_sort(ranked.begin(),
                     ranked.end(),
                     [](auto const& left, auto const& right)
                     {
                         return left.first < right.first;
                     });
    auto next = ranked.begin();
    for (auto& request : state.waiting)
        request = std::move((next++)->second);
}

void dispatcher::send_waiting(std::string const& service, kernel::monotonic_time now)
{
    auto& state = state_of(service);
    if (m_has_fair_admission)
        pass_queue(state, nullptr, max_blocked_per_pass, now);
    else
        send_waiting_by_priority(state, now);
}

void dispatcher::send_waiting_by_priority(service_state& state, kernel::monotonic_time now)
{
    std::size_t blocked = 0;
    for (auto next = state.waiting.begin();
         next != state.waiting.end() && blocked < max_blocked_per_pass;)
    {
        auto const request = *next;
        // Sending or refusing the request does not change the list, so the iterator stays valid.
        bool const has_left_queue =
            try_send(request, now) || request->state == request_state::ended;
        next = has_left_queue ? state.waiting.erase(next) : std::next(next);
        blocked += has_left_queue ? 0 : 1;
    }
}

void dispatcher::enqueue_by_priority(request_pointer const& request, kernel::monotonic_time now)
{
    auto& state = state_of(request->service);
    assert(request->awaited_server);
    auto const& server = *request->awaited_server;
    // The request is already counted as waiting, but does not wait for itself.
    auto wait_seconds =
        expected_finish(server, state.smoothed_run_seconds, server.own_queued - 1.0, now).start;
    if (server.limit)
        wait_seconds = std::max(wait_seconds, seconds_until_permitted(*server.limit, now));
    wait_seconds = std::max(wait_seconds, seconds_value(server.paused_until - now).count());
    auto const waited = seconds_value(now - request->arrived_at).count();
    auto const target = seconds_value(request->route->target_latency).count();
    if (state.waiting.size() < max_waiting && waited + wait_seconds <= max_wait_fraction * target &&
        now + min_run_time < request->answer_deadline)
    {
        request->state = request_state::waiting;
        state.waiting.insert(
            std::upper_bound(state.waiting.begin(), state.waiting.end(), request, comes_before),
            request);
    }
    else if (!send_as_last_resort(request, now) && request->state != request_state::ended)
        refuse(request, refusal::no_room, now);
}

bool dispatcher::send_as_last_resort(request_pointer const& request, kernel::monotonic_time now)
{
    auto const& state = state_of(request->service);
    auto const servers =
        has_spare_slots(state) ? max_servers_per_object_with_spare_slots : max_servers_per_object;
    return now + min_run_time < request->answer_deadline &&
           (has_spare_slots(state) || m_has_stable_placement) &&
           try_send(request, now, servers, true);
}

void dispatcher::pass_queue(service_state& state,
                            request_pointer const& added,
                            std::size_t max_blocked,
                            kernel::monotonic_time now)
{
    sort_waiting(state, now);
    std::unordered_map<known_server const*, double> ahead;
    std::size_t blocked = 0;
    for (auto next = state.waiting.begin(); next != state.waiting.end();)
    {
        auto const request = *next;
        bool const is_new = request == added;
        // Sending or refusing the request does not change the list, so the iterator stays valid.
        bool const is_sent = (blocked < max_blocked || is_new) && try_send(request, now);
        bool const waits = !is_sent && request->state == request_state::waiting &&
                           keep_waiting(request, is_new, ahead[request->awaited_server.get()], now);
        if (waits)
            ++ahead[request->awaited_server.get()];
        next = waits ? std::next(next) : state.waiting.erase(next);
        blocked += waits ? 1 : 0;
    }
}

void dispatcher::refuse(request_pointer const& request, refusal cause, kernel::monotonic_time now)
{
    // Status 503 promises that the request did not run in this send or any earlier one.
    auto const reported_cause = request->may_have_run ? refusal::broken_off : cause;
    auto response = make_refusal(reported_cause, std::nullopt);
    constexpr unsigned not_run = 503;
    if (reported_cause == refusal::over_quota)
        response = make_refusal(reported_cause, request->quota_wait);
    if (response.status == not_run)
        response = make_refusal(reported_cause, retry_after(*request, cause, now));
    m_metrics
        .find_counter("pistachiohub_gateway_refusals_total", {"reason", to_string(reported_cause)})
        .increment();
    m_metrics
        .find_latency("pistachiohub_gateway_refusal_wait_seconds",
                      {"reason", to_string(reported_cause)})
        .observe(seconds_value(now - request->arrived_at).count());
    finish(request, std::move(response), to_string(cause), now);
}

milliseconds
dispatcher::retry_after(gateway_request const& request, refusal cause, kernel::monotonic_time now)
{
    if (cause == refusal::unreadable_configuration)
        return max_retry_after;
    if (cause == refusal::quarantined)
        return retry_after_quarantine(request, now);
    // Another host probably has its contact with the store.
    if (cause == refusal::stale_configuration)
        return min_retry_after;
    if (!m_has_fair_admission)
        return retry_after_by_priority(request, now);
    auto& state = state_of(request.service);
    auto const interval = slot_interval(state, servers_of(m_servers, request.service), now);
    auto const at_server =
        request.awaited_server
            ? expected_finish(*request.awaited_server, state.work.mean, 0, now).start
            : 0.0;
    auto const wait = std::chrono::ceil<milliseconds>(
        admission::plan_return(state.returns,
                               {at_server + static_cast<double>(state.waiting.size()) * interval,
                                interval,
                                admission::asked_per_second(state.shares, now),
                                request.caller_deadline - now},
                               now));
    if (!request.awaited_server)
        return wait;
    // Whoever comes back during the pause of the server is refused again.
    return std::max(wait,
                    std::chrono::ceil<milliseconds>(request.awaited_server->paused_until - now));
}

milliseconds dispatcher::retry_after_quarantine(gateway_request const& request,
                                                kernel::monotonic_time now)
{
    auto const wait = quarantine_wait(m_crashes, crash_fingerprint(request), moment_of(now));
    if (wait > trial_turn)
        return wait;
    // Spreads the callers that come back after a trial.
    return std::chrono::ceil<milliseconds>(wait * (0.5 + m_actions.random()));
}

milliseconds dispatcher::retry_after_by_priority(gateway_request const& request,
                                                 kernel::monotonic_time now)
{
    auto const& state = state_of(request.service);
    auto const running = static_cast<double>(std::max<std::size_t>(state.running, 1));
    auto const expected_wait =
        (static_cast<double>(state.waiting.size()) + 1) * state.smoothed_run_seconds / running;
    // Jitter spreads the retries of callers that were refused together over the time in which slots
    // are released.
    auto const jittered_wait = expected_wait * (0.5 + m_actions.random());
    auto const wait = std::clamp(std::chrono::ceil<milliseconds>(seconds_value(jittered_wait)),
                                 min_retry_after,
                                 max_retry_after);
    if (!request.awaited_server)
        return wait;
    // Whoever comes back during the pause of the server is refused again.
    return std::max(wait,
                    std::chrono::ceil<milliseconds>(request.awaited_server->paused_until - now));
}

} // namespace pistachiohub::gateway
