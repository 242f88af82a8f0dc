#pragma once

/// @file
/// This daemon's share of the request rate that a cold backend server tolerates.

#include "kernel/clock.hpp"
#include "plugins/gateway/server_table.hpp"

#include <span>
#include <string>

namespace pistachiohub::gateway
{

/// Fraction of the tolerated rate that is used. The rest covers daemons that disagree on the number
/// of daemons, and requests that are delayed on their way.
inline constexpr double cold_rate_safety_factor = 0.7;

/// Splits the rate of requests to a cold server among the daemons.
/// @param max_requests requests that the server tolerates within any second, over all daemons.
/// @param own_rank rank of this daemon for the server, from daemon_rank_for_server(). Daemons of
/// low rank get the remainder of the division.
/// @param daemon_count number of daemons, at least 1.
/// @returns requests that this daemon may send within any second. The sum over all daemons is at
/// most `max_requests * cold_rate_safety_factor`.
[[nodiscard]] double
cold_request_share(double max_requests, std::size_t own_rank, std::size_t daemon_count);

/// @returns the rank of the host `own` among `hosts` by rendezvous score for the server, starting
/// at 0. Each host of the list has another rank.
[[nodiscard]] std::size_t daemon_rank_for_server(std::string const& server_id,
                                                 std::string const& own,
                                                 std::span<std::string const> hosts);

/// Admits one request to a cold server if the share permits it, and counts it. To keep the share
/// within any sliding second, at most half of it is spent in each second of the clock, but one
/// request at least.
/// @param share requests that this daemon may send within any second, from cold_request_share().
/// @returns whether the request may be sent.
[[nodiscard]] bool
try_admit_cold_request(known_server& server, double share, kernel::monotonic_time now);

} // namespace pistachiohub::gateway
