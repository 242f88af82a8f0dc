#pragma once

/// @file
/// Messages to the forward duty, which owns the request table.

#include "kernel/clock.hpp"
#include "libraries/identity/request_id.hpp"
#include "libraries/messages/peer_message.hpp"
#include "libraries/outcome/outcome.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace pistachiohub::events
{

/// A caller's request, syntactically valid.
struct caller_request
{
    /// Number of the open HTTP exchange on the front thread.
    std::uint64_t exchange = 0;
    /// Missing for an idempotent request without an id.
    std::optional<identity::request_id> id;
    /// Number of transmissions of this id that the caller states; 0 if it states none.
    std::uint32_t transmission = 0;
    std::string service;
    kernel::monotonic_time deadline;
    std::string body;
};

/// How an attempt at a backend server ended.
enum class attempt_end
{
    /// A whole answer that echoes id and attempt.
    answered,
    /// The server said that it did not start the request.
    refused,
    /// No byte of the request was sent: no connection, or the connection limit is reached.
    never_sent,
    /// The connection ended after the request was sent and before a whole answer.
    broken,
    /// The answer did not come by the deadline; a late one may follow as `answered`.
    deadline
};

/// Result of an attempt at a backend server. A `deadline` may be followed by one later result.
struct attempt_result
{
    std::uint64_t dispatch = 0;
    attempt_end end = attempt_end::broken;
    std::string answer;
};

/// Result of asking a backend server to cancel an attempt.
struct cancel_result
{
    std::uint64_t dispatch = 0;
    /// True: the server has not started the attempt and never will. False: not proven.
    bool is_cancelled = false;
};

/// A message of another daemon that concerns requests.
struct peer_request_message
{
    std::string sender;
    std::uint64_t sender_incarnation = 0;
    std::variant<messages::submit,
                 messages::submit_reply,
                 messages::relay,
                 messages::relay_reply,
                 messages::relay_cancel,
                 messages::quarantine_notice>
        content;
};

/// A message to another daemon could not be sent: no byte left this daemon.
struct peer_unsent
{
    /// What was not sent; only the fields that identify it are kept.
    std::variant<messages::submit, messages::relay> content;
};

/// The journal holds the intent to dispatch; the dispatch may start.
struct intent_durable
{
    identity::request_id id;
};

/// The intent was not written, and it is proven that it never will be.
struct intent_refused
{
    identity::request_id id;
};

/// What the journal of a fenced incarnation says of an id.
struct fence_result
{
    identity::request_id id;
    outcome result = outcome::unresolved;
    reason cause = reason::owner_unreachable;
};

/// An operator releases a quarantined fingerprint.
struct quarantine_release
{
    std::uint64_t fingerprint = 0;
};

/// Any message to the forward duty.
using forward_event = std::variant<caller_request,
                                   attempt_result,
                                   cancel_result,
                                   peer_request_message,
                                   peer_unsent,
                                   intent_durable,
                                   intent_refused,
                                   fence_result,
                                   quarantine_release>;

} // namespace pistachiohub::events
