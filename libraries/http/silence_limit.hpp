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

/// Suspends the limit while the other side acknowledges everything but takes no data, which the
/// kernel would count as silence. To be called several times within `limit` while data may wait.
/// @param limit as given to set_silence_limit().
/// @param is_suspended false before the first call; kept for the next one.
/// @returns whether data waits for the other side.
bool update_silence_limit(int socket, kernel::duration limit, bool& is_suspended);

} // namespace pistachiohub::http
