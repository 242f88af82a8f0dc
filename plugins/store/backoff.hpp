#pragma once

/// @file
/// Delays between attempts to reach the store.

#include "kernel/clock.hpp"

#include <algorithm>

namespace pistachiohub::store
{

/// Delay before the first repeated attempt, before jitter.
inline constexpr auto shortest_backoff = std::chrono::milliseconds(100);
/// Largest delay, before jitter.
inline constexpr auto longest_backoff = std::chrono::milliseconds(5000);

/// @param failures attempts that failed in a row, at least 1.
/// @param random a number in `[0, 1)`.
/// @returns a delay that doubles with each failure, times a factor in `[0.5, 1)`, so that daemons
/// do not return to a recovering store at the same moment.
[[nodiscard]] inline kernel::duration backoff_delay(unsigned failures, double random)
{
    // 2^6 times the shortest delay is above the longest one.
    constexpr unsigned most_doublings = 6;
    auto const doublings = std::min(std::max(failures, 1U) - 1, most_doublings);
    auto const full = std::min(shortest_backoff * (1U << doublings), longest_backoff);
    auto const jittered = std::chrono::duration<double>(full) * (0.5 + random / 2);
    return std::chrono::duration_cast<kernel::duration>(jittered);
}

} // namespace pistachiohub::store
