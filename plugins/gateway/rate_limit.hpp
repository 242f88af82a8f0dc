#pragma once

/// @file
/// The rate of requests that a backend server takes from all daemons together, by its own word, and
/// this daemon's share of it.
///
/// The daemons share a limit without agreeing on it. The regular senders of a server are hosts of
/// its region, because callers' requests stay in their region as long as it has room. All other
/// hosts together send a request now and then, to learn whether the limit has ended.

#include "kernel/clock.hpp"

#include <functional>
#include <span>
#include <string>

namespace pistachiohub::gateway
{

/// This daemon's share of the limit of one server.
struct limit_share
{
    /// Requests a second that this daemon may send regularly; 0 unless it is a regular sender.
    double requests_per_second = 0;
    /// Unused requests of the share that may be sent later at once.
    double burst = 1;
    /// Average time between two requests that check whether the limit has ended; only for a daemon
    /// that may not send regularly.
    kernel::duration check_interval{};
};

/// A limit that a server has named in its answers, with this daemon's use of its share.
struct rate_limit
{
    /// From all daemons together.
    double max_requests_per_second = 0;
    /// When this daemon first heard of a limit of the server.
    kernel::monotonic_time named_at;
    limit_share share;
    /// Requests that the share permits now. A new limit begins with none: the daemons hear of it at
    /// about the same time.
    double permitted = 0;
    kernel::monotonic_time permitted_at;
    /// Begin of the time in which the next check may be sent.
    kernel::monotonic_time check_at;
};

/// Splits the limit of a server.
///
/// Invariant: if all daemons know the same hosts, the regular senders together send at most
/// `limit * t + 2 * limit + 2` requests in any time `t`, and all checks come at a tenth of the
/// limit on average, but at least one in four seconds.
/// @param limit requests a second from all daemons together.
/// @param server_id id of the server.
/// @param own name of this host.
/// @param region_hosts names of the hosts in the region of the server.
/// @param all_hosts names of all hosts; empty while they are unknown, which gives the smallest
/// share.
[[nodiscard]] limit_share share_limit(double limit,
                                      std::string const& server_id,
                                      std::string const& own,
                                      std::span<std::string const> region_hosts,
                                      std::span<std::string const> all_hosts);

/// Sets the share, and the time of the next check where none is due soon.
/// @param random returns a number in `[0, 1)`. It keeps the checks of different daemons apart.
void set_share(rate_limit& limit,
               limit_share const& share,
               kernel::monotonic_time now,
               std::function<double()> const& random);

/// @returns whether this daemon may send the server a request now.
[[nodiscard]] bool may_send(rate_limit const& limit, kernel::monotonic_time now);

/// Counts a request that was sent.
void record_sent(rate_limit& limit,
                 kernel::monotonic_time now,
                 std::function<double()> const& random);

/// @returns the time in seconds until this daemon may send the server a request, without checks.
[[nodiscard]] double seconds_until_permitted(rate_limit const& limit, kernel::monotonic_time now);

} // namespace pistachiohub::gateway
