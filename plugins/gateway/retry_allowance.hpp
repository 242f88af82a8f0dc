#pragma once

/// @file
/// This daemon's share of the fleet's budget of further sends.

#include "kernel/clock.hpp"

#include <array>
#include <cstdint>

namespace pistachiohub::gateway
{

/// Bounds of the budget, over all daemons.
struct retry_bounds
{
    /// Further sends permitted for each request of the window.
    double ratio = 0;
    /// Further sends permitted beside them in each window.
    double extra = 0;
    kernel::duration window = std::chrono::seconds(10);
};

/// Part of the bounds that is used. The rest covers requests on their way at the edges of a window
/// and daemons of which this one does not know yet.
inline constexpr double used_part_of_budget = 0.7;

/// Requests and further sends of one service within the last window.
struct retry_allowance
{
    static constexpr std::size_t buckets_of_window = 10;
    /// One more than the window has: a sliding window reaches into it.
    static constexpr std::size_t buckets = buckets_of_window + 1;

    struct bucket
    {
        std::int64_t number = -1;
        std::uint64_t requests = 0;
        std::uint64_t repeats = 0;
    };

    std::array<bucket, buckets> counts;
};

/// Counts a first send.
void record_request(retry_allowance& state, retry_bounds const& bounds, kernel::monotonic_time now);

/// Counts one further send if this daemon's share permits it.
///
/// Invariant: when a send is permitted, the repeats of the window that ends now are at most the
/// used part of (ratio * own requests of that window + extra / daemons). The sum over all daemons
/// stays within the bounds if each counts at least the daemons that live.
/// @param daemons daemons among which the extra sends are split, at least 1.
[[nodiscard]] bool try_repeat(retry_allowance& state,
                              retry_bounds const& bounds,
                              std::size_t daemons,
                              kernel::monotonic_time now);

} // namespace pistachiohub::gateway
