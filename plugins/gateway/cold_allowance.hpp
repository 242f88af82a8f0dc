#pragma once

/// @file
/// This daemon's share of the requests that a cold backend server tolerates.

#include "kernel/clock.hpp"
#include "plugins/gateway/server_table.hpp"

#include <span>
#include <string>

namespace pistachiohub::gateway
{

/// Part of the tolerated rate that is used. The rest covers daemons that count the fleet
/// differently and requests that are late on their way.
inline constexpr double used_part_of_cold_rate = 0.7;

/// @param most requests that the server tolerates within any second, over all daemons.
/// @param own_position position of this daemon among all daemons, in the order of their rendezvous
/// scores for the server.
/// @param daemons number of daemons, at least 1.
/// @returns requests that this daemon may send within any second; the sum over all daemons is at
/// most `most` times the used part.
[[nodiscard]] double cold_share(double most, std::size_t own_position, std::size_t daemons);

/// @returns the position of `own` among `hosts` for the server, by rendezvous hashing.
[[nodiscard]] std::size_t cold_position(std::string const& server_id,
                                        std::string const& own,
                                        std::span<std::string const> hosts);

/// Counts one request to a cold server if the share permits it. A share for a sliding second is
/// kept by spending at most half of it in each second of the clock, but one request at least.
[[nodiscard]] bool try_send_cold(known_server& server, double share, kernel::monotonic_time now);

} // namespace pistachiohub::gateway
