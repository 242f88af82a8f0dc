#pragma once

/// @file
/// Limit on the fraction of its own callers' requests that a daemon relays to other regions
/// (shifts).

#include "kernel/clock.hpp"
#include "libraries/configuration/configuration.hpp"

#include <array>
#include <cstdint>

namespace pistachiohub::limit
{

/// Length of the sliding window over which the fraction is measured.
inline constexpr kernel::duration shift_window_length = std::chrono::seconds(10);
/// Number of buckets in the window, one for each second.
inline constexpr std::size_t shift_window_buckets = 10;

/// Sliding-window counts of one service's requests and shifts. The functions below update it.
struct shift_window
{
    /// Counts of one second.
    struct bucket
    {
        /// Second of the monotonic clock that the counts belong to; -1 for an unused bucket.
        std::int64_t second = -1;
        std::uint64_t requests = 0;
        std::uint64_t shifted = 0;
    };

    std::array<bucket, shift_window_buckets> buckets;
    /// Fraction permitted at `last_ramp_update`. Each try_shift() raises it at the policy's
    /// `shift_rate`, up to `shift_cap`; it restarts from 0 after a window without a call.
    double permitted_fraction = 0;
    /// Time of the last try_shift().
    kernel::monotonic_time last_ramp_update;
    /// False until the first try_shift().
    bool is_started = false;
};

/// Counts a request that one of this daemon's own callers sent.
void record_request(shift_window& window, kernel::monotonic_time now);

/// Counts a request as shifted if the policy's `shift_cap` and `shift_rate` allow it.
///
/// Invariant: within any window, shifted <= shift_cap * requests. The caller has counted the
/// request with record_request() before.
/// @returns true if the request may be relayed to another region; it is then counted.
[[nodiscard]] bool
try_shift(shift_window& window, configuration::policy const& policy, kernel::monotonic_time now);

/// Undoes the count of the most recent shift in the window, for a request that was not sent.
void cancel_shift(shift_window& window, kernel::monotonic_time now);

} // namespace pistachiohub::limit
