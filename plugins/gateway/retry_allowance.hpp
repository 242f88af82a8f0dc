#pragma once

/// @file
/// This daemon's share of the retry budget that all daemons of the fleet have together.

#include "kernel/clock.hpp"

#include <array>
#include <cstdint>

namespace pistachiohub::gateway
{

/// Limits of the retry budget of one service, over all daemons. A retry is any send of a request
/// after its first one.
struct retry_bounds
{
    /// Retries permitted for each request of the window.
    double ratio = 0;
    /// Retries permitted in each window in addition to `ratio`.
    double extra = 0;
    kernel::duration window = std::chrono::seconds(10);
};

/// Fraction of the budget that is used. The rest covers requests that cross the edges of a window
/// on their way, and daemons that this one does not know yet.
inline constexpr double retry_budget_safety_factor = 0.7;

/// Requests and retries of one service within the last window, counted in a ring of time buckets.
struct retry_allowance
{
    static constexpr std::size_t buckets_per_window = 10;
    /// One more than a window has, because a sliding window overlaps one more bucket in part.
    static constexpr std::size_t bucket_count = buckets_per_window + 1;

    struct bucket
    {
        /// Bucket lengths since the epoch of the monotonic clock; -1 if unused.
        std::int64_t number = -1;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    std::array<bucket, bucket_count> counts;
};

/// Counts the first send of a request.
void record_request(retry_allowance& state, retry_bounds const& bounds, kernel::monotonic_time now);

/// Counts one retry if this daemon's share of the budget permits it.
///
/// Invariant: when a retry is permitted, the retries of the window that ends at `now` are at most
/// `retry_budget_safety_factor * (ratio * own requests of that window + extra / daemon_count)`. The
/// sum over all daemons stays within the bounds if no daemon counts fewer daemons than are alive.
/// @param daemon_count daemons among which `extra` is split, at least 1.
/// @returns whether the request may be sent again.
[[nodiscard]] bool try_retry(retry_allowance& state,
                             retry_bounds const& bounds,
                             std::size_t daemon_count,
                             kernel::monotonic_time now);

} // namespace pistachiohub::gateway
