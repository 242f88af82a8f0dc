#pragma once

/// @file
/// Error answers that the gateway generates itself.

#include "plugins/gateway/message.hpp"

#include <chrono>
#include <optional>
#include <string_view>

namespace pistachiohub::gateway
{

/// Why the gateway refuses a request. "Not run" means that no backend server ran it.
enum class refusal
{
    /// No configuration has been read yet. Not run.
    no_configuration,
    /// No route of the configuration matches the request.
    no_route,
    /// No usable backend server is known. Not run.
    no_server,
    /// No slot is expected to become free before the request's deadline. Not run.
    no_room,
    /// The request's deadline expired while it waited for a slot. Not run.
    waited_too_long,
    /// A backend server refused the request, and no further send is permitted. Not run.
    not_started,
    /// The request was sent and the connection broke. It may have run.
    broken_off,
    /// The request was sent and no answer arrived before the deadline. It may have run.
    timed_out,
    /// A backend server that ran the request answered with a status that promises the opposite.
    unproven_refusal,
    /// The request is not valid HTTP.
    malformed,
    /// The request's header exceeds the configured limit.
    header_too_large,
    /// The request's body exceeds the configured limit.
    body_too_large,
    /// The requests of all callers, or their answers, exceed their share of memory. Not run.
    no_memory,
    /// The same request crashed several backend servers before. Not run this time.
    quarantined,
    /// The part of the configuration that applies to the request cannot be read. Not run.
    unreadable_configuration,
    /// The process is about to end, probably before the request would. Not run.
    leaving,
    /// The request has no key of a customer, though its route needs one.
    unknown_key,
    /// The customer has used up its quota over all hosts. Not run.
    over_quota,
    /// The configuration was confirmed too long ago to know whether the key is still valid. Not
    /// run.
    stale_configuration
};

/// @returns the name used in logs and metric labels.
[[nodiscard]] std::string_view to_string(refusal cause);

/// @returns the error answer for a refusal. Statuses 429 and 503 guarantee that the request did not
/// run and never will.
/// @param retry_after time after which the caller may retry a request that did not run; without it
/// the answer has no `Retry-After` header.
[[nodiscard]] answer make_refusal(refusal cause,
                                  std::optional<std::chrono::milliseconds> retry_after);

} // namespace pistachiohub::gateway
