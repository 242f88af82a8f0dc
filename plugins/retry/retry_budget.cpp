#include "plugins/retry/retry_budget.hpp"

#include <algorithm>

namespace pistachiohub::retry
{

namespace
{

// The sum of ten times 0.1 is slightly less than 1 in binary floating point.
constexpr double rounding_tolerance = 1e-9;

} // namespace

void deposit(retry_budget& budget)
{
    budget.tokens = std::min(budget.tokens + tokens_per_request, max_tokens);
}

bool try_spend(retry_budget& budget)
{
    if (budget.tokens < 1 - rounding_tolerance)
        return false;
    budget.tokens = std::max(budget.tokens - 1, 0.0);
    return true;
}

} // namespace pistachiohub::retry
