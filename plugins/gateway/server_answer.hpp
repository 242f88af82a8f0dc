#pragma once

/// @file
/// Decides what a message that arrived on a backend server's connection means for the request that
/// waits there.

#include "libraries/interface/interface.hpp"
#include "plugins/gateway/request.hpp"

#include <optional>
#include <string_view>

namespace pistachiohub::gateway
{

/// What a whole message is.
enum class message_meaning
{
    /// The answer to the request.
    answer,
    /// The backend server says that it did not start the request.
    not_started,
    /// An answer to another request, which arrived late; the right one may follow.
    other_request,
    /// An interim answer; the final one follows.
    interim,
    /// It has no proof that a backend server made it for this request.
    unproven
};

/// @param request_id id of the request that waits.
[[nodiscard]] message_meaning classify(answer const& received,
                                       interface::message_headers const& names,
                                       std::string_view request_id);

/// @returns running and waiting requests from a load header, or nothing when it is missing or
/// malformed.
[[nodiscard]] std::optional<double> parse_load(std::string_view value);

} // namespace pistachiohub::gateway
