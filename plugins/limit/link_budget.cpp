#include "plugins/limit/link_budget.hpp"

#include <algorithm>

namespace pistachiohub::limit
{

namespace
{

constexpr double bytes_per_megabit = 1e6 / 8;
using seconds = std::chrono::duration<double>;

double burst_bytes(link_budget const& budget)
{
    return budget.bytes_per_second * seconds(link_budget_burst).count();
}

void fill(link_budget& budget, kernel::monotonic_time now)
{
    if (!budget.is_started)
    {
        budget.available_bytes = burst_bytes(budget);
        budget.filled_at = now;
        budget.is_started = true;
        return;
    }
    if (now <= budget.filled_at)
        return;
    auto const gained = budget.bytes_per_second * seconds(now - budget.filled_at).count();
    budget.available_bytes = std::min(budget.available_bytes + gained, burst_bytes(budget));
    budget.filled_at = now;
}

} // namespace

void set_rate(link_budget& budget, double megabits_per_second, std::size_t region_entry_hosts)
{
    auto const hosts = static_cast<double>(std::max<std::size_t>(region_entry_hosts, 1));
    budget.bytes_per_second = megabits_per_second * bytes_per_megabit / hosts;
    budget.available_bytes = std::min(budget.available_bytes, burst_bytes(budget));
}

bool try_spend(link_budget& budget, std::size_t bytes, kernel::monotonic_time now)
{
    if (budget.bytes_per_second <= 0)
        return false;
    fill(budget, now);
    // A message larger than the burst would never pass on a slow link, so it needs only a full
    // bucket and leaves a debt that later messages wait for.
    auto const wanted = static_cast<double>(bytes);
    if (budget.available_bytes < std::min(wanted, burst_bytes(budget)))
        return false;
    budget.available_bytes -= wanted;
    return true;
}

} // namespace pistachiohub::limit
