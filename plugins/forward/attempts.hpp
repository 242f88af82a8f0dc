#pragma once

/// @file
/// Handles the ends of attempts of requests that this daemon owns, both local and relayed ones.

#include "libraries/events/forward_event.hpp"
#include "plugins/forward/request_table.hpp"

#include <string>
#include <string_view>

namespace pistachiohub::forward
{

struct step;

/// Closes the request with the answer, or settles it if it was closed as unresolved.
void handle_answered_attempt(step& current, request& subject, attempt& item, std::string answer);

/// Handles an attempt that is proven not to have been started: the request is retried or closed, or
/// settled if it was closed as unresolved.
void handle_not_run_attempt(step& current, request& subject, attempt& item, reason cause);

/// Handles a connection that broke while the attempt may have been running. The backend server has
/// been asked whether the attempt was started. An idempotent request is retried without waiting for
/// the reply.
void handle_broken_attempt(step& current,
                           request& subject,
                           attempt& item,
                           std::string_view backend_server);

/// Handles an attempt that may have run and about which nothing more will be learnt.
/// @param backend_server server that broke the connection; empty if it is not known.
void handle_unproven_attempt(
    step& current, request& subject, attempt& item, reason cause, std::string_view backend_server);

/// Applies the end of an attempt at a backend server of this failure domain.
void apply_attempt_end(
    step& current, request& subject, attempt& item, events::attempt_end end, std::string answer);

/// Applies the result of a cancellation at a backend server of this failure domain.
/// @param is_cancelled true if the server proved that the attempt was not started.
void apply_cancel_result(step& current, request& subject, attempt& item, bool is_cancelled);

/// Handles what is due for a request whose timer has expired: its deadline, the deadlines of its
/// waiters and the checks of pending attempts. Sets the timer again.
void apply_timer(step& current, request& subject);

} // namespace pistachiohub::forward
