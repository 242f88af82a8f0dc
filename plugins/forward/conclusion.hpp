#pragma once

/// @file
/// Sets the outcome of a request, records it in the settlement and answers the waiters.

#include "plugins/forward/request_table.hpp"

#include <string>

namespace pistachiohub::forward
{

struct step;

/// Sends an outcome to a waiter: to a caller of this daemon, or to the daemon that forwarded the
/// request.
void answer_waiter(step& current,
                   waiter const& recipient,
                   identity::request_id const& id,
                   std::string const& service,
                   outcome result,
                   reason cause,
                   std::string const& answer);

/// Sends the outcome of a closed request to a waiter: `unresolved` with the reason `expired` if the
/// answer is no longer kept.
void answer_from_record(step& current, waiter const& recipient, request const& subject);

/// Closes an open request as `ran` with an answer.
void close_with_answer(step& current, request& subject, std::string answer);

/// Closes an open request without an answer: `not_run` when every attempt is proven not to have
/// been started, `unresolved` otherwise.
void close_without_answer(step& current, request& subject, reason cause);

/// Settles a closed request as `ran` if it was unresolved, because its answer arrived late.
void settle_with_answer(step& current, request& subject, std::string answer);

/// Settles a closed request as `not_run` if it was unresolved and every attempt is now proven not
/// to have been started.
void settle_if_not_run(step& current, request& subject, reason cause);

} // namespace pistachiohub::forward
