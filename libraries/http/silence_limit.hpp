#pragma once

/// @file
/// Detection of connections that went dead without a reset.

#include "kernel/clock.hpp"

namespace pistachiohub::http
{

/// Has the kernel probe an idle connection, and break it when the other side acknowledges neither
/// data nor probes for about `limit`.
/// @param socket a connected TCP socket.
void set_silence_limit(int socket, kernel::duration limit);

/// Suspends the limit while data waits for the other side, unless that is silent. The kernel also
/// counts the time without room at a living peer, and may count it from an earlier such time on. To
/// be called after each write, and then several times within `limit` while data waits.
/// @param limit as given to set_silence_limit().
/// @param is_suspended false before the first call; kept for the next one.
/// @returns whether data waits for the other side.
bool update_silence_limit(int socket, kernel::duration limit, bool& is_suspended);

} // namespace pistachiohub::http
