#pragma once

/// @file
/// Answers that the gateway makes itself.

#include "plugins/gateway/message.hpp"

#include <chrono>
#include <optional>
#include <string_view>

namespace pistachiohub::gateway
{

/// Why the gateway answers itself.
enum class refusal
{
    /// No configuration was read yet. Not run.
    no_configuration,
    /// No route matches.
    no_route,
    /// No usable backend server is known. Not run.
    no_server,
    /// All slots are taken for longer than the request can wait. Not run.
    no_room,
    /// It waited until its time was up. Not run.
    waited_too_long,
    /// A backend server refused it, and another send is not permitted. Not run.
    not_started,
    /// It was sent, and the connection broke. It may have run.
    broken_off,
    /// It was sent, and no answer came in time. It may have run.
    timed_out,
    /// It is not valid HTTP.
    malformed,
    header_too_large,
    body_too_large,
    /// The requests of all callers take too much memory. Not run.
    no_memory,
    /// It crashed several backend servers. Not run this time.
    quarantined
};

/// @returns the name used in logs and metric labels.
[[nodiscard]] std::string_view to_string(refusal cause);

/// @returns the answer. Statuses 429 and 503 promise that the request did not run and never will.
/// @param retry_after when the caller may come back, for requests that did not run.
[[nodiscard]] answer make_refusal(refusal cause,
                                  std::optional<std::chrono::milliseconds> retry_after);

} // namespace pistachiohub::gateway
