#pragma once

/// @file
/// What follows from the end of an attempt of an own request, wherever it ran.

#include "libraries/events/forward_event.hpp"
#include "plugins/forward/request_table.hpp"

#include <string>
#include <string_view>

namespace pistachiohub::forward
{

struct step;

/// The attempt was answered.
void attempt_answered(step& current, request& subject, attempt& item, std::string answer);

/// The attempt is proven not to have been started; it is retried or the request ends.
void attempt_not_run(step& current, request& subject, attempt& item, reason cause);

/// The connection broke while the attempt may have been running, and proof is still being sought.
void attempt_broken(step& current,
                    request& subject,
                    attempt& item,
                    std::string_view backend_server);

/// The attempt may have run and nothing more is expected of it.
void attempt_unproven(
    step& current, request& subject, attempt& item, reason cause, std::string_view backend_server);

/// Applies the result of a run at a backend server of this failure domain.
void apply_attempt_end(
    step& current, request& subject, attempt& item, events::attempt_end end, std::string answer);

/// Applies the result of a cancellation at a backend server of this failure domain.
void apply_cancel(step& current, request& subject, attempt& item, bool is_cancelled);

/// Applies the passing of time to a request whose timer has passed.
void apply_timer(step& current, request& subject);

} // namespace pistachiohub::forward
