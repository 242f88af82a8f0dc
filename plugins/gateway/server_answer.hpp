#pragma once

/// @file
/// Classification of messages that backend servers send.

#include "libraries/interface/interface.hpp"
#include "libraries/routing/route.hpp"
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

/// @returns whether callers take a status for the promise that the request has not run and never
/// will, whoever sends it.
[[nodiscard]] bool promises_not_run(unsigned status);

/// What is done with an answer to a request that may have run.
struct answer_use
{
    /// Another backend server is tried first, if that is possible.
    bool is_retried = false;
    /// The caller gets it unchanged. Otherwise he gets a failure of the gateway, without anything
    /// of the answer: its status would be an untrue promise, and its body and headers belong to
    /// that status.
    bool is_passed_on = true;
};

/// Decides on a `message_meaning::answer`. An answer that proves that the request did not run is
/// `message_meaning::not_started` and does not come here.
[[nodiscard]] answer_use use_of_answer(routing::request_kind kind, unsigned status);

} // namespace pistachiohub::gateway
