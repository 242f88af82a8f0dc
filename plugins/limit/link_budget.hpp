#pragma once

/// @file
/// Rate limit for this daemon's share of a link between two regions.

#include "kernel/clock.hpp"

#include <cstddef>

namespace pistachiohub::limit
{

/// Capacity of the bucket, as the time that the configured rate takes to fill it.
inline constexpr kernel::duration link_budget_burst = std::chrono::milliseconds(250);

/// A token bucket of bytes. A relayed request spends its own size and its expected answer's size.
struct link_budget
{
    double bytes_per_second = 0;
    double available_bytes = 0;
    /// Time of the last refill.
    kernel::monotonic_time last_refill;
    /// False until the first try_spend(), which fills the bucket.
    bool is_started = false;
};

/// Sets the rate to the link's capacity divided by the entry hosts configured in the source region.
/// @param megabits_per_second capacity of the link; 0 makes try_spend() refuse every message.
/// @param region_entry_hosts entry hosts of the source region; 0 counts as 1.
void set_rate(link_budget& budget, double megabits_per_second, std::size_t region_entry_hosts);

/// Spends `bytes` if they are available.
///
/// A message larger than the bucket's capacity passes when the bucket is full. The balance then
/// becomes negative, and later messages wait until it has recovered.
/// @returns false, with nothing spent, if too few bytes are available.
[[nodiscard]] bool try_spend(link_budget& budget, std::size_t bytes, kernel::monotonic_time now);

} // namespace pistachiohub::limit
