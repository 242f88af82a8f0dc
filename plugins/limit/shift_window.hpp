#pragma once

/// @file
/// The cap on the fraction of a daemon's own requests that it relays to other regions.

#include "kernel/clock.hpp"
#include "libraries/configuration/configuration.hpp"

#include <array>
#include <cstdint>

namespace pistachiohub::limit
{

/// Length of the window over which the fraction is taken.
inline constexpr kernel::duration shift_window_length = std::chrono::seconds(10);
/// Buckets of the window.
inline constexpr std::size_t shift_window_buckets = 10;

/// Counts of one service's requests over the last window. Free functions keep it up to date.
struct shift_window
{
    struct bucket
    {
        std::int64_t second = -1;
        std::uint64_t requests = 0;
        std::uint64_t shifted = 0;
    };

    std::array<bucket, shift_window_buckets> buckets;
    /// Fraction permitted at `ramp_time`; grows by the policy's rate while shifts are wanted.
    double permitted_fraction = 0;
    kernel::monotonic_time ramp_time;
    /// False until the first call.
    bool is_started = false;
};

/// Counts a request of this daemon's own callers.
void record_request(shift_window& window, kernel::monotonic_time now);

/// Counts a request as relayed to another region if the cap and the rate allow it.
///
/// Invariant: within any window, shifted <= shift_cap * requests, with the request itself counted
/// by record_request() before.
/// @returns true if the request may be relayed; it is then counted.
[[nodiscard]] bool
try_shift(shift_window& window, configuration::policy const& policy, kernel::monotonic_time now);

/// Takes back the count of a shift that was not sent after all.
void cancel_shift(shift_window& window, kernel::monotonic_time now);

} // namespace pistachiohub::limit
