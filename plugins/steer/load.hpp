#pragma once

/// @file
/// Estimate of a backend server's load from its reports and this daemon's own requests.

#include "plugins/steer/destination.hpp"

namespace pistachiohub::steer
{

/// Age up to which a load report has its full weight.
inline constexpr kernel::duration full_weight_time = std::chrono::seconds(5);
/// Time over which the weight of an older report falls to 0.
inline constexpr kernel::duration weight_decay_time = std::chrono::seconds(30);
/// Back-off after the first refusal by a backend server; doubles with each further one.
inline constexpr kernel::duration initial_backoff = std::chrono::milliseconds(20);
/// Upper limit of the back-off.
inline constexpr kernel::duration max_backoff = std::chrono::milliseconds(500);

/// @returns true while the server gets no requests because it refused earlier ones.
[[nodiscard]] bool is_backing_off(server_usage const& usage, kernel::monotonic_time now);

/// @returns the highest of the last loads that the live servers of `service` reported, of any age;
/// 0 without a report.
[[nodiscard]] double highest_reported_load(view::world_view const& world, view::index service);

/// @returns the estimated load of a server: own requests in flight per usable slot plus the
/// reported load.
///
/// As the report ages, `highest_load` replaces it in proportion to the lost weight. A server whose
/// reports stop is then treated like the most loaded one and gains no traffic. When all reports
/// stop, all servers are treated alike.
/// @param highest_load result of highest_reported_load() for the server's service.
[[nodiscard]] double server_load(view::backend_server const& server,
                                 server_usage const& usage,
                                 std::uint32_t usable_slots,
                                 double highest_load,
                                 kernel::monotonic_time now);

} // namespace pistachiohub::steer
