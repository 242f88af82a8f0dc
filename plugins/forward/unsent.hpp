#pragma once

/// @file
/// The events that tell the coordinator of messages that did not leave its thread.

#include "libraries/events/backend_command.hpp"
#include "libraries/events/forward_event.hpp"
#include "libraries/events/peer_command.hpp"
#include "libraries/events/store_command.hpp"

#include <optional>

namespace pistachiohub::forward
{

/// @returns the proof that a dispatch was not sent, or that a cancellation proved nothing.
[[nodiscard]] events::forward_event unsent_event(events::backend_command const& command);

/// @returns the proof that a `submit` or a `relay` was not sent; nothing for other messages, whose
/// loss the protocol between daemons tolerates.
[[nodiscard]] std::optional<events::forward_event> unsent_event(events::peer_command command);

/// @returns the refusal of an intent or of a fence; nothing for commands that are sent again later.
[[nodiscard]] std::optional<events::forward_event>
unsent_event(events::store_command const& command);

} // namespace pistachiohub::forward
