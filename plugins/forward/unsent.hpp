#pragma once

/// @file
/// Converts messages that did not fit into the mailbox of their duty to events for the coordinator.

#include "libraries/events/backend_command.hpp"
#include "libraries/events/forward_event.hpp"
#include "libraries/events/peer_command.hpp"
#include "libraries/events/store_command.hpp"

#include <optional>

namespace pistachiohub::forward
{

/// @returns the result `never_sent` for a dispatch, or a failed cancellation for a cancel command.
[[nodiscard]] events::forward_event unsent_event(events::backend_command const& command);

/// @returns the event that a `submit` or a `relay` was not sent. Returns nothing for other
/// messages, whose loss the protocol between daemons tolerates.
[[nodiscard]] std::optional<events::forward_event> unsent_event(events::peer_command command);

/// @returns the refusal of an intent, or an unresolved result for a fence. Returns nothing for
/// other commands, which are sent again later.
[[nodiscard]] std::optional<events::forward_event>
unsent_event(events::store_command const& command);

} // namespace pistachiohub::forward
