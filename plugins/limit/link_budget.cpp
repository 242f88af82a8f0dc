#include "plugins/limit/link_budget.hpp"

#include <algorithm>

namespace pistachiohub::limit
{

namespace
{

constexpr double bytes_per_megabit = 1e6 / 8;
using seconds = std::chrono::duration<double>;

double capacity_bytes(link_budget const& budget)
{
    return budget.bytes_per_second * seconds(link_budget_burst).count();
}

void refill(link_budget& budget, kernel::monotonic_time now)
{
    if (!budget.is_started)
    {
        budget.available_bytes = capacity_bytes(budget);
        budget.last_refill = now;
        budget.is_started = true;
        return;
    }
    if (now <= budget.last_refill)
        return;
    auto const refill_bytes = budget.bytes_per_second * seconds(now - budget.last_refill).count();
    budget.available_bytes =
        std::min(budget.available_bytes + refill_bytes, capacity_bytes(budget));
    budget.last_refill = now;
}

} // namespace

void set_rate(link_budget& budget, double megabits_per_second, std::size_t region_entry_hosts)
{
    auto const hosts = static_cast<double>(std::max<std::size_t>(region_entry_hosts, 1));
    budget.bytes_per_second = megabits_per_second * bytes_per_megabit / hosts;
    budget.available_bytes = std::min(budget.available_bytes, capacity_bytes(budget));
}

bool try_spend(link_budget& budget, std::size_t bytes, kernel::monotonic_time now)
{
    if (budget.bytes_per_second <= 0)
        return false;
    refill(budget, now);
    // A message larger than the capacity would never pass on a slow link. It needs only a full
    // bucket and makes the balance negative, so that later messages wait.
    auto const message_bytes = static_cast<double>(bytes);
    if (budget.available_bytes < std::min(message_bytes, capacity_bytes(budget)))
        return false;
    budget.available_bytes -= message_bytes;
    return true;
}

} // namespace pistachiohub::limit
