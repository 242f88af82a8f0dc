#pragma once

/// @file
/// Classification of messages that backend servers send.

#include "libraries/interface/interface.hpp"
#include "plugins/gateway/request.hpp"

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
    /// The status is none of HTTP, or ends HTTP on the connection.
    invalid,
    /// Nothing in the message proves that a backend server made it for this request: the request id
    /// is missing, or a 2xx answer has no signature.
    unproven
};

/// Classifies a complete message from a backend server.
/// @param request_id id of the request that is pending on the connection.
[[nodiscard]] message_meaning classify_message(answer const& received,
                                               interface::message_headers const& names,
                                               std::string_view request_id);

} // namespace pistachiohub::gateway
