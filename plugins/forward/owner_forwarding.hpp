#pragma once

/// @file
/// Re-sent requests that are owned by another daemon. They are forwarded to the owner. If it is
/// unreachable or was restarted, its journal is fenced and read, where the service has one.

#include "libraries/events/forward_event.hpp"
#include "plugins/forward/request_table.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::forward
{

struct step;

/// Maximum number of forwarded requests without a reply.
inline constexpr std::size_t max_pending_forwards = 4096;

/// A forwarded request whose caller waits for the owner's answer.
struct pending_forward
{
    waiter recipient;
    identity::request_id id;
    std::string service;
    /// True while the owner's journal is being fenced and read.
    bool is_fencing = false;
};

/// All forwarded requests without a reply, keyed by the exchange number in their `submit`.
struct forwarding_table
{
    std::map<std::uint64_t, pending_forward> pending;
    std::uint64_t next_exchange = 1;
};

/// @returns true if no forwarded request is waiting for a reply.
[[nodiscard]] bool is_empty(forwarding_table const& table);

/// Handles a caller's request whose id belongs to another daemon or to an earlier incarnation of
/// this one (rules R2, R5 and R6).
void forward_to_owner(step& current, events::caller_request subject);

/// Passes the owner's reply on to the caller. A reply from another daemon or incarnation is
/// ignored.
void apply_submit_reply(step& current,
                        messages::submit_reply const& reply,
                        std::string_view sender,
                        std::uint64_t sender_incarnation);

/// Handles a `submit` message that was never sent: the owner counts as unreachable.
void apply_submit_unsent(step& current, messages::submit const& unsent);

/// Answers the callers that wait for a fenced request id, with the outcome found in the journal.
void apply_fence(step& current, events::fence_result const& result);

/// Ends forwarded requests whose deadline has passed, and handles those whose owner has become
/// unreachable or was restarted.
void check_pending_forwards(step& current);

} // namespace pistachiohub::forward
