#pragma once

/// @file
/// The owner's side of relayed attempts.

#include "libraries/events/forward_event.hpp"
#include "plugins/forward/request_table.hpp"

#include <cstdint>

namespace pistachiohub::forward
{

struct step;

/// Time without a reply after which the end of a relayed attempt is asked for.
inline constexpr kernel::duration relay_query_interval = std::chrono::milliseconds(500);
/// Times that a relayed attempt is asked for after its deadline.
inline constexpr std::uint32_t relay_queries_after_deadline = 8;

/// Applies the reply of the entry host that an attempt was relayed to.
void apply_relay_reply(step& current,
                       messages::relay_reply reply,
                       std::string_view sender,
                       std::uint64_t sender_incarnation);

/// Applies the proof that a relay never left this daemon.
void apply_relay_unsent(step& current, messages::relay const& unsent);

/// @returns true if the entry host that an attempt was relayed to is silent or was restarted.
[[nodiscard]] bool is_receiver_gone(step const& current, attempt const& item);

/// Asks for the end of a relayed attempt, whose receiver must not start it any more if it has not
/// yet, or ends the follow-up.
void query_relay(step& current, request& subject, attempt& item);

/// Starts the follow-up of a relayed attempt whose deadline has passed.
void overrun_relay(step& current, request& subject, attempt& item);

} // namespace pistachiohub::forward
