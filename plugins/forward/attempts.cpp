#include "plugins/forward/attempts.hpp"

#include "plugins/forward/conclusion.hpp"
#include "plugins/forward/crash_suspicion.hpp"
#include "plugins/forward/placement.hpp"
#include "plugins/forward/relay_limits.hpp"
#include "plugins/forward/relay_sender.hpp"
#include "plugins/forward/step.hpp"

#include <algorithm>

namespace pistachiohub::forward
{

namespace
{

bool is_closed(request const& subject)
{
    return subject.phase == request_phase::closed;
}

/// Queues the request for another attempt if the rules allow one. The retry budget is charged when
/// the attempt starts.
void try_again(step& current, request& subject, reason cause)
{
    if (subject.phase != request_phase::running || !may_start_attempt(subject))
        return;
    if (subject.deadline <= current.now)
    {
        conclude(current, subject, cause);
        return;
    }
    enqueue(current, subject);
}

/// @returns true if the request was closed because it is now quarantined.
bool record_strike(step& current, request& subject, std::string_view backend_server)
{
    record_crash(current, subject.fingerprint, subject.service, backend_server);
    if (is_closed(subject) ||
        !retry::is_quarantined(current.state.quarantine, subject.fingerprint, current.now))
        return false;
    conclude(current, subject, reason::quarantined);
    return true;
}

bool is_idempotent(request const& subject)
{
    return subject.kind == configuration::service_kind::idempotent;
}

void expire_waiters(step& current, request& subject)
{
    auto const is_due = [&current](waiter const& item)
    {
        return item.deadline <= current.now;
    };
    for (auto const& item : subject.waiters)
    {
        if (is_due(item))
            answer_waiter(current,
                          item,
                          subject.id,
                          subject.service,
                          outcome::unresolved,
                          reason::deadline,
                          {});
    }
    std::erase_if(subject.waiters, is_due);
}

void overrun_attempts(step& current, request& subject)
{
    for (auto& item : subject.attempts)
    {
        if (item.entry_host.empty())
            mark_overdue(current, item.run, subject.id, item.number);
        else
            mark_relay_overdue(current, subject, item);
    }
}

/// Ends a request whose deadline has passed. What never started an unproven attempt was only
/// queued.
void reach_deadline(step& current, request& subject)
{
    overrun_attempts(current, subject);
    conclude(current,
             subject,
             has_unproven_attempt(subject) ? reason::deadline : reason::queue_deadline);
}

void follow_up(step& current, request& subject, attempt& item)
{
    if (!is_pending(item.run.state) || item.run.check_at > current.now)
        return;
    if (!item.entry_host.empty())
    {
        // Waiting longer for a host that is gone helps only a request that must not run twice.
        if (!is_closed(subject) && is_idempotent(subject) && is_receiver_gone(current, item))
            attempt_unproven(current, subject, item, reason::relay_silent, {});
        else
            query_relay(current, subject, item);
        return;
    }
    stop_follow_up(current, item.run);
    if (!is_closed(subject) && !is_idempotent(subject))
        conclude(current, subject, reason::connection_broken);
}

} // namespace

void attempt_answered(step& current, request& subject, attempt& item, std::string answer)
{
    item.run.state = run_state::answered;
    release_credit(current.state.credits, item, subject.service);
    retry::record_answered(current.state.quarantine, subject.fingerprint);
    if (is_closed(subject))
        settle_ran(current, subject, std::move(answer));
    else
        conclude_ran(current, subject, std::move(answer));
}

void attempt_not_run(step& current, request& subject, attempt& item, reason cause)
{
    item.run.state = run_state::not_run;
    item.cause = cause;
    release_credit(current.state.credits, item, subject.service);
    if (is_closed(subject))
        settle_if_not_run(current, subject, cause);
    else
        try_again(current, subject, cause);
}

void attempt_broken(step& current, request& subject, attempt& item, std::string_view backend_server)
{
    item.cause = reason::connection_broken;
    // An at-most-once request waits for the proof. It gets its strike only without one, because a
    // run that was not started cannot have broken the connection.
    if (!is_idempotent(subject))
        return;
    if (record_strike(current, subject, backend_server))
        return;
    try_again(current, subject, reason::connection_broken);
}

void attempt_unproven(
    step& current, request& subject, attempt& item, reason cause, std::string_view backend_server)
{
    item.run.state = run_state::unknown;
    item.cause = cause;
    release_credit(current.state.credits, item, subject.service);
    auto const is_crash = cause == reason::connection_broken && !backend_server.empty();
    if (is_crash && record_strike(current, subject, backend_server))
        return;
    if (is_closed(subject))
        return;
    auto const is_lost = cause == reason::connection_broken || cause == reason::relay_silent;
    if (is_idempotent(subject) && is_lost)
        try_again(current, subject, cause);
    else
        conclude(current, subject, cause);
}

void apply_attempt_end(
    step& current, request& subject, attempt& item, events::attempt_end end, std::string answer)
{
    switch (apply_run_end(current, item.run, subject.id, item.number, end))
    {
    case run_change::answered:
        record_run_time(current, subject.service, item.run);
        attempt_answered(current, subject, item, std::move(answer));
        break;
    case run_change::refused:
        attempt_not_run(current, subject, item, reason::backend_server_refused);
        break;
    case run_change::never_sent:
        attempt_not_run(current, subject, item, reason::backend_server_unreachable);
        break;
    case run_change::broken:
        attempt_broken(current, subject, item, item.run.backend_server);
        break;
    case run_change::broken_may_have_run:
        attempt_unproven(
            current, subject, item, reason::connection_broken, item.run.backend_server);
        break;
    case run_change::overdue:
        if (!is_closed(subject))
            reach_deadline(current, subject);
        break;
    case run_change::cancelled:
    case run_change::none:
        break;
    }
    arm(current.state.requests, subject);
}

void apply_cancel(step& current, request& subject, attempt& item, bool is_cancelled)
{
    auto const change = apply_run_cancel_result(current, item.run, is_cancelled);
    // An idempotent request got its strike when the connection broke.
    if (change == run_change::cancelled)
        attempt_not_run(current, subject, item, reason::cancelled);
    if (change == run_change::broken_may_have_run && !is_idempotent(subject))
        attempt_unproven(
            current, subject, item, reason::connection_broken, item.run.backend_server);
    arm(current.state.requests, subject);
}

void apply_timer(step& current, request& subject)
{
    if (!is_closed(subject) && subject.deadline <= current.now)
        reach_deadline(current, subject);
    if (!is_closed(subject))
        expire_waiters(current, subject);
    for (auto& item : subject.attempts)
        follow_up(current, subject, item);
    arm(current.state.requests, subject);
}

} // namespace pistachiohub::forward
