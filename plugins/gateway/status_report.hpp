#pragma once

/// @file
/// The gateway's status document, as shown by `pistachiohub status`.

#include "kernel/daemon_context.hpp"
#include "plugins/gateway/dispatcher.hpp"

#include <string>

namespace pistachiohub::gateway
{

/// @returns the gateway's state as JSON text: the same members as the status of the admin
/// interface, and `is_ready`.
[[nodiscard]] std::string
make_status(kernel::daemon_context& context, dispatcher const& source, kernel::monotonic_time now);

} // namespace pistachiohub::gateway
