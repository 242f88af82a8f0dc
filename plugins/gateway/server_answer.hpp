#pragma once

/// @file
/// Classification of messages that backend servers send, and parsing of their load header.

#include "libraries/interface/interface.hpp"
#include "plugins/gateway/request.hpp"

#include <optional>
#include <string_view>

namespace pistachiohub::gateway
{

/// Meaning of a complete message for the request that is pending on its connection.
enum class message_meaning
{
    /// The answer to the pending request.
    answer,
    /// The backend server reports that it did not start the request.
    not_started,
    /// A late answer to another request; the answer to the pending one may follow.
    other_request,
    /// An interim (1xx) answer; the final one follows.
    interim,
    /// Nothing in the message proves that a backend server made it for this request: the request id
    /// is missing, or a 2xx answer has no signature.
    unproven
};

/// Classifies a complete message from a backend server.
/// @param request_id id of the request that is pending on the connection.
[[nodiscard]] message_meaning classify_message(answer const& received,
                                               interface::message_headers const& names,
                                               std::string_view request_id);

/// @returns the number of running and waiting requests together, as stated by a load header
/// (`running,waiting,slots`), or nothing if the header is missing or malformed.
[[nodiscard]] std::optional<double> parse_load(std::string_view value);

} // namespace pistachiohub::gateway
