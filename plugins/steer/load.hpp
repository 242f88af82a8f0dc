#pragma once

/// @file
/// How loaded a backend server looks to this daemon.

#include "plugins/steer/destination.hpp"

namespace pistachiohub::steer
{

/// Time for which the last report counts in full.
inline constexpr kernel::duration report_full_time = std::chrono::seconds(5);
/// Time over which the weight of a report then falls to 0.
inline constexpr kernel::duration report_decay_time = std::chrono::seconds(30);
/// Pause after the first refusal of a backend server; doubles with each further one.
inline constexpr kernel::duration first_back_off = std::chrono::milliseconds(20);
/// Longest pause after refusals.
inline constexpr kernel::duration longest_back_off = std::chrono::milliseconds(500);

/// @returns true while a server that refused is not asked again.
[[nodiscard]] bool is_backing_off(server_usage const& usage, kernel::monotonic_time now);

/// @returns the highest load ever reported by the live servers of `service`; 0 without a report.
[[nodiscard]] double highest_reported_load(view::world_view const& world, view::index service);

/// @returns the load of a server: own requests in flight per usable slot plus the reported load.
///
/// The part of the report that has aged away is replaced by `highest_load`. So a server whose
/// reports stop looks as loaded as the most loaded one and gains no traffic by its silence, and
/// when all reports stop, all servers look alike.
[[nodiscard]] double server_load(view::backend_server const& server,
                                 server_usage const& usage,
                                 std::uint32_t usable_slots,
                                 double highest_load,
                                 kernel::monotonic_time now);

} // namespace pistachiohub::steer
