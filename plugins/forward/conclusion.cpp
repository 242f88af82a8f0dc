#include "plugins/forward/conclusion.hpp"

#include "plugins/forward/step.hpp"

#include <cassert>

namespace pistachiohub::forward
{

namespace
{

/// Weight of the newest answer in the moving average of answer sizes.
constexpr double newest_answer_weight = 0.1;

/// @returns true if the reply to the caller should include a fresh lookup result.
bool needs_lookup(reason cause)
{
    switch (cause)
    {
    case reason::not_owner:
    case reason::owner_unreachable:
    case reason::owner_restarted:
    case reason::expired:
    case reason::future_epoch:
    case reason::draining:
    case reason::not_ready:
        return true;
    default:
        return false;
    }
}

void settle(step& current, request const& subject, bool was_unresolved)
{
    // The settlement counts by service. Callers could add any number of counters by inventing
    // names.
    if (subject.cause == reason::unknown_service)
        return;
    events::settle_request const command{subject.id,
                                         subject.service,
                                         subject.result,
                                         subject.cause,
                                         was_unresolved,
                                         subject.is_journaled};
    emit(current, events::store_command{command});
}

void log_unresolved(step& current, request const& subject)
{
    add_log_entry(current,
                  kernel::log_level::warning,
                  "request_unresolved",
                  {{"id", to_string(subject.id)},
                   {"service", subject.service},
                   {"reason", std::string(to_string(subject.cause))},
                   {"attempts", std::to_string(subject.attempts.size())}});
}

void update_answer_size(step& current, request const& subject)
{
    auto& average = current.state.services[subject.service].answer_bytes;
    auto const size = static_cast<double>(subject.answer.size());
    average += (size - average) * newest_answer_weight;
}

void close(step& current, request& subject, outcome result, reason cause, std::string answer)
{
    assert(subject.phase != request_phase::closed);
    if (subject.phase == request_phase::queued)
        remove(current.state.queue, subject);
    subject.phase = request_phase::closed;
    subject.result = result;
    subject.cause = cause;
    subject.closed_at = current.now;
    replace_body_with_answer(current.state.requests, subject, std::move(answer), current.now);
    --current.state.requests.open_requests;
    settle(current, subject, false);
    increment_counter(current, metric::outcomes, result);
    if (result == outcome::not_run)
        increment_counter(current, metric::refusals, cause);
    if (result == outcome::unresolved)
        log_unresolved(current, subject);
    for (auto const& recipient : subject.waiters)
        answer_from_record(current, recipient, subject);
    subject.waiters.clear();
    update_timer(current.state.requests, subject);
}

void settle_late(step& current, request& subject, outcome result, reason cause, std::string answer)
{
    assert(subject.phase == request_phase::closed && subject.result == outcome::unresolved);
    subject.result = result;
    subject.cause = cause;
    replace_body_with_answer(current.state.requests, subject, std::move(answer), current.now);
    settle(current, subject, true);
    increment_counter(current, metric::late_settlements, result);
    add_log_entry(current,
                  kernel::log_level::info,
                  "request_settled_late",
                  {{"id", to_string(subject.id)}, {"outcome", std::string(to_string(result))}});
}

} // namespace

void answer_waiter(step& current,
                   waiter const& recipient,
                   identity::request_id const& id,
                   std::string const& service,
                   outcome result,
                   reason cause,
                   std::string const& answer)
{
    if (recipient.daemon.empty())
    {
        emit(current,
             events::front_reply{
                 recipient.exchange, id, result, cause, answer, service, needs_lookup(cause)});
        return;
    }
    messages::submit_reply const reply{recipient.exchange, result, cause, answer};
    emit_peer(current, recipient.daemon, recipient.daemon_incarnation, reply);
}

void answer_from_record(step& current, waiter const& recipient, request const& subject)
{
    // Without this check a dropped answer would be sent as an empty one.
    if (subject.is_answer_dropped)
    {
        answer_waiter(current,
                      recipient,
                      subject.id,
                      subject.service,
                      outcome::unresolved,
                      reason::expired,
                      {});
        return;
    }
    answer_waiter(current,
                  recipient,
                  subject.id,
                  subject.service,
                  subject.result,
                  subject.cause,
                  subject.answer);
}

void close_with_answer(step& current, request& subject, std::string answer)
{
    close(current, subject, outcome::ran, reason::ok, std::move(answer));
    update_answer_size(current, subject);
}

void close_without_answer(step& current, request& subject, reason cause)
{
    auto const result = has_unproven_attempt(subject) ? outcome::unresolved : outcome::not_run;
    close(current, subject, result, cause, {});
}

void settle_with_answer(step& current, request& subject, std::string answer)
{
    if (subject.result == outcome::unresolved)
        settle_late(current, subject, outcome::ran, reason::ok, std::move(answer));
}

void settle_if_not_run(step& current, request& subject, reason cause)
{
    if (subject.result == outcome::unresolved && !has_unproven_attempt(subject))
        settle_late(current, subject, outcome::not_run, cause, {});
}

} // namespace pistachiohub::forward
