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

/// Queues the request for another attempt if `may_start_attempt` allows it, or closes it if its
/// deadline has passed. The retry budget is charged when the attempt starts.
void retry_or_close(step& current, request& subject, reason cause)
{
    if (subject.phase != request_phase::running || !may_start_attempt(subject))
        return;
    if (subject.deadline <= current.now)
    {
        close_without_answer(current, subject, cause);
        return;
    }
    enqueue(current, subject);
}

/// Records that a backend server broke the connection during the request.
/// @returns true if the request was closed because it is now quarantined.
bool record_broken_connection(step& current, request& subject, std::string_view backend_server)
{
    record_crash(current, subject.fingerprint, subject.service, backend_server);
    if (is_closed(subject) ||
        !retry::is_quarantined(current.state.quarantine, subject.fingerprint, current.now))
        return false;
    close_without_answer(current, subject, reason::quarantined);
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

void cancel_attempts(step& current, request& subject)
{
    for (auto& item : subject.attempts)
    {
        if (item.entry_host.empty())
            mark_overdue(current, item.run, subject.id, item.number);
        else
            mark_relay_overdue(current, subject, item);
    }
}

/// Cancels the attempts of a request whose deadline has passed, and closes it. Without an unproven
/// attempt the time was spent in the queue, which the reason `queue_deadline` reports.
void handle_deadline(step& current, request& subject)
{
    cancel_attempts(current, subject);
    close_without_answer(current,
                         subject,
                         has_unproven_attempt(subject) ? reason::deadline : reason::queue_deadline);
}

/// Asks for the state of a pending attempt that is due for a check, or gives it up.
void check_pending_attempt(step& current, request& subject, attempt& item)
{
    if (!is_pending(item.run.state) || item.run.check_at > current.now)
        return;
    if (!item.entry_host.empty())
    {
        // An idempotent request is retried at once when its host is gone. An at-most-once request
        // has to wait for proof that it was not run.
        if (!is_closed(subject) && is_idempotent(subject) && is_receiver_gone(current, item))
            handle_unproven_attempt(current, subject, item, reason::relay_silent, {});
        else
            query_relay(current, subject, item);
        return;
    }
    stop_follow_up(current, item.run);
    if (!is_closed(subject) && !is_idempotent(subject))
        close_without_answer(current, subject, reason::connection_broken);
}

} // namespace

void handle_answered_attempt(step& current, request& subject, attempt& item, std::string answer)
{
    item.run.state = run_state::answered;
    release_credit(current.state.credits, item, subject.service);
    retry::record_answered(current.state.quarantine, subject.fingerprint, item.run.started_at);
    if (is_closed(subject))
        settle_with_answer(current, subject, std::move(answer));
    else
        close_with_answer(current, subject, std::move(answer));
}

void handle_not_run_attempt(step& current, request& subject, attempt& item, reason cause)
{
    item.run.state = run_state::not_run;
    item.cause = cause;
    release_credit(current.state.credits, item, subject.service);
    if (is_closed(subject))
        settle_if_not_run(current, subject, cause);
    else
        retry_or_close(current, subject, cause);
}

void handle_broken_attempt(step& current,
                           request& subject,
                           attempt& item,
                           std::string_view backend_server)
{
    item.cause = reason::connection_broken;
    // An at-most-once request waits for proof that it was not started. The crash is recorded only
    // if there is none, because a run that was not started cannot have broken the connection.
    if (!is_idempotent(subject))
        return;
    if (record_broken_connection(current, subject, backend_server))
        return;
    retry_or_close(current, subject, reason::connection_broken);
}

void handle_unproven_attempt(
    step& current, request& subject, attempt& item, reason cause, std::string_view backend_server)
{
    item.run.state = run_state::unknown;
    item.cause = cause;
    release_credit(current.state.credits, item, subject.service);
    auto const is_crash = cause == reason::connection_broken && !backend_server.empty();
    if (is_crash && record_broken_connection(current, subject, backend_server))
        return;
    if (is_closed(subject))
        return;
    auto const is_lost = cause == reason::connection_broken || cause == reason::relay_silent;
    if (is_idempotent(subject) && is_lost)
        retry_or_close(current, subject, cause);
    else
        close_without_answer(current, subject, cause);
}

void apply_attempt_end(
    step& current, request& subject, attempt& item, events::attempt_end end, std::string answer)
{
    switch (apply_run_end(current, item.run, subject.id, item.number, end))
    {
    case run_change::answered:
        record_run_time(current, subject.service, item.run);
        handle_answered_attempt(current, subject, item, std::move(answer));
        break;
    case run_change::refused:
        handle_not_run_attempt(current, subject, item, reason::backend_server_refused);
        break;
    case run_change::never_sent:
        handle_not_run_attempt(current, subject, item, reason::backend_server_unreachable);
        break;
    case run_change::broken:
        handle_broken_attempt(current, subject, item, item.run.backend_server);
        break;
    case run_change::broken_may_have_run:
        handle_unproven_attempt(
            current, subject, item, reason::connection_broken, item.run.backend_server);
        break;
    case run_change::overdue:
        if (!is_closed(subject))
            handle_deadline(current, subject);
        break;
    case run_change::cancelled:
    case run_change::none:
        break;
    }
    update_timer(current.state.requests, subject);
}

void apply_cancel_result(step& current, request& subject, attempt& item, bool is_cancelled)
{
    auto const change = apply_run_cancel_result(current, item.run, is_cancelled);
    // For an idempotent request the crash was recorded when the connection broke.
    if (change == run_change::cancelled)
        handle_not_run_attempt(current, subject, item, reason::cancelled);
    if (change == run_change::broken_may_have_run && !is_idempotent(subject))
        handle_unproven_attempt(
            current, subject, item, reason::connection_broken, item.run.backend_server);
    update_timer(current.state.requests, subject);
}

void apply_timer(step& current, request& subject)
{
    if (!is_closed(subject) && subject.deadline <= current.now)
        handle_deadline(current, subject);
    if (!is_closed(subject))
        expire_waiters(current, subject);
    for (auto& item : subject.attempts)
        check_pending_attempt(current, subject, item);
    update_timer(current.state.requests, subject);
}

} // namespace pistachiohub::forward
