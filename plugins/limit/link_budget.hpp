#pragma once

/// @file
/// This daemon's part of the byte budget of a link between two regions.

#include "kernel/clock.hpp"

#include <cstddef>

namespace pistachiohub::limit
{

/// Time for which unused budget is kept.
inline constexpr kernel::duration link_budget_burst = std::chrono::milliseconds(250);

/// A token bucket of bytes. Sizes of requests and expected answers are both spent.
struct link_budget
{
    double bytes_per_second = 0;
    double available_bytes = 0;
    kernel::monotonic_time filled_at;
    /// False until the first call.
    bool is_started = false;
};

/// Sets the rate: the link's capacity divided by the entry hosts configured in the source region.
void set_rate(link_budget& budget, double megabits_per_second, std::size_t region_entry_hosts);

/// Spends `bytes` if they are available. A message larger than the burst needs a full bucket and
/// leaves a debt.
/// @returns false, with nothing spent, when they are not.
[[nodiscard]] bool try_spend(link_budget& budget, std::size_t bytes, kernel::monotonic_time now);

} // namespace pistachiohub::limit
