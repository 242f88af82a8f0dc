#pragma once

/// @file
/// How a request gets its outcome, and how those who wait for it are told.

#include "plugins/forward/request_table.hpp"

#include <string>

namespace pistachiohub::forward
{

struct step;

/// Tells one waiter an outcome.
void answer_waiter(step& current,
                   waiter const& recipient,
                   identity::request_id const& id,
                   std::string const& service,
                   outcome result,
                   reason cause,
                   std::string const& answer);

/// Tells one waiter the outcome of a closed request.
void answer_from_record(step& current, waiter const& recipient, request const& subject);

/// Closes an open request with an answer.
void conclude_ran(step& current, request& subject, std::string answer);

/// Closes an open request without an answer: `not_run` when every attempt is proven not to have
/// been started, `unresolved` otherwise.
void conclude(step& current, request& subject, reason cause);

/// Settles an unresolved request for which an answer arrived late.
void settle_ran(step& current, request& subject, std::string answer);

/// Settles an unresolved request if every attempt is now proven not to have been started.
void settle_if_not_run(step& current, request& subject, reason cause);

} // namespace pistachiohub::forward
