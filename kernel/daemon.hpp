#pragma once

/// @file
/// Life cycle of the daemon: starts a thread for each plug-in and stops them in reverse order.

#include "kernel/daemon_context.hpp"
#include "kernel/settings_file.hpp"

#include <cstdint>

namespace pistachiohub::kernel
{

/// Runs the registered plug-ins of the wanted part until the daemon is drained.
///
/// SIGTERM and SIGINT begin a graceful shutdown; a second signal changes nothing, so that no
/// request in flight is cut. SIGHUP reads the settings file again.
/// @param file the settings file that is watched for changes, or null.
/// @throws error when a plug-in cannot be created, for example because a port is taken.
void run_daemon(daemon_context& context, settings_file* file);

/// Random bits below the start's wall clock in an incarnation.
inline constexpr unsigned incarnation_random_bits = 10;

/// @returns a number for a process that starts now, unique on this host: wall clock milliseconds
/// times 1024 plus 10 random bits.
[[nodiscard]] std::uint64_t new_incarnation();

} // namespace pistachiohub::kernel
