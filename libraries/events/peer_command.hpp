#pragma once

/// @file
/// Messages to the peer duty, which holds the connections to other daemons.

#include "libraries/messages/peer_message.hpp"

#include <cstdint>
#include <string>

namespace pistachiohub::events
{

/// Sends a message to one daemon. The peer duty looks up its address in the published world view.
///
/// When a `submit` or a `relay` cannot be sent, the peer duty reports `peer_unsent` to the forward
/// duty; other messages are dropped and counted.
struct peer_command
{
    std::string recipient;
    /// 0: any incarnation.
    std::uint64_t recipient_incarnation = 0;
    messages::payload content;
};

} // namespace pistachiohub::events
