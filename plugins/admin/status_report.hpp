#pragma once

/// @file
/// JSON text of a daemon's status.

#include "kernel/daemon_context.hpp"
#include "libraries/view/world_view.hpp"

#include <string>

namespace pistachiohub::admin
{

/// @param world null before the first configuration.
/// @returns name, incarnation, configuration version, members, backend servers and counters.
[[nodiscard]] std::string make_status(kernel::daemon_context& context,
                                      view::world_view const* world);

} // namespace pistachiohub::admin
