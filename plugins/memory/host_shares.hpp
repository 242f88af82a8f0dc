#pragma once

/// @file
/// How the memory and the descriptors of a host are divided among what the gateway does.

#include "kernel/gateway_settings.hpp"
#include "libraries/http/server.hpp"

#include <cstddef>

namespace pistachiohub::memory
{

/// @returns the number of connections that callers may have open.
[[nodiscard]] std::size_t caller_connections(kernel::host_resources const& resources);

/// @returns the memory for requests that are being read or await their answers, in bytes.
[[nodiscard]] std::size_t request_memory(kernel::host_resources const& resources);

/// @returns the memory for answers that backend servers have sent and callers have not taken.
[[nodiscard]] std::size_t answer_memory(kernel::host_resources const& resources);

/// @returns the limits of each of the daemon's own HTTP servers: directory, readiness, metrics and
/// relay.
[[nodiscard]] http::server_limits service_limits(kernel::host_resources const& resources);

} // namespace pistachiohub::memory
