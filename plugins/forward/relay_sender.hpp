#pragma once

/// @file
/// Sending side of relayed attempts, on the daemon that owns the request.

#include "libraries/events/forward_event.hpp"
#include "plugins/forward/request_table.hpp"

#include <cstdint>

namespace pistachiohub::forward
{

struct step;

/// Interval at which the receiver is queried for the outcome of a relayed attempt without a reply.
inline constexpr kernel::duration relay_query_interval = std::chrono::milliseconds(500);
/// Maximum number of queries for a relayed attempt after the one sent when its deadline passes.
inline constexpr std::uint32_t max_relay_queries_after_deadline = 8;

/// Applies the reply of the entry host that an attempt was relayed to. A reply from another host or
/// incarnation is ignored.
void apply_relay_reply(step& current,
                       messages::relay_reply reply,
                       std::string_view sender,
                       std::uint64_t sender_incarnation);

/// Handles a relay message that was never sent: the attempt is proven not to have run.
void apply_relay_unsent(step& current, messages::relay const& unsent);

/// @returns true if the entry host that an attempt was relayed to is silent or was restarted.
[[nodiscard]] bool is_receiver_gone(step const& current, attempt const& item);

/// Queries the receiver for the outcome of a relayed attempt. The query also forbids the receiver
/// to start the attempt if it has not received it yet. Once the request is closed and all queries
/// are used up, the state of the attempt becomes `unknown`.
void query_relay(step& current, request& subject, attempt& item);

/// Marks a pending relayed attempt as overdue and sends the first query after the deadline.
void mark_relay_overdue(step& current, request& subject, attempt& item);

} // namespace pistachiohub::forward
