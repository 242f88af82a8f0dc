#pragma once

/// @file
/// What the gateway knows, for `pistachiohub status`.

#include "kernel/daemon_context.hpp"
#include "plugins/gateway/dispatcher.hpp"

#include <string>

namespace pistachiohub::gateway
{

/// @returns the JSON text of the daemon's state, with the members of the status of the request
/// interface and `is_ready`.
[[nodiscard]] std::string
make_status(kernel::daemon_context& context, dispatcher const& known, kernel::monotonic_time now);

} // namespace pistachiohub::gateway
