#include "plugins/limit/shift_window.hpp"

#include <algorithm>

namespace pistachiohub::limit
{

namespace
{

/// Longest time between two calls of try_shift() that counts towards the permitted fraction's
/// growth.
constexpr kernel::duration max_growth_step = std::chrono::seconds(1);

/// Totals over the buckets of one window.
struct window_sums
{
    std::uint64_t requests = 0;
    std::uint64_t shifted = 0;
};

std::int64_t second_of(kernel::monotonic_time now)
{
    return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
}

shift_window::bucket& current_bucket(shift_window& window, kernel::monotonic_time now)
{
    auto const second = second_of(now);
    auto const position = static_cast<std::uint64_t>(second) % shift_window_buckets;
    auto& bucket = window.buckets[position];
    if (bucket.second != second)
        bucket = {second, 0, 0};
    return bucket;
}

window_sums sum_window(shift_window const& window, kernel::monotonic_time now)
{
    auto const oldest = second_of(now) - static_cast<std::int64_t>(shift_window_buckets);
    window_sums sums;
    for (auto const& bucket : window.buckets)
    {
        if (bucket.second <= oldest)
            continue;
        sums.requests += bucket.requests;
        sums.shifted += bucket.shifted;
    }
    return sums;
}

void update_permitted_fraction(shift_window& window,
                               configuration::policy const& policy,
                               kernel::monotonic_time now)
{
    auto const elapsed = now - window.last_ramp_update;
    if (!window.is_started || elapsed > shift_window_length)
        window.permitted_fraction = 0;
    else
    {
        auto const growth_time =
            std::chrono::duration<double>(std::clamp(elapsed, kernel::duration{}, max_growth_step));
        window.permitted_fraction += policy.shift_rate * growth_time.count();
    }
    window.permitted_fraction = std::min(window.permitted_fraction, policy.shift_cap);
    window.last_ramp_update = now;
    window.is_started = true;
}

} // namespace

void record_request(shift_window& window, kernel::monotonic_time now)
{
    ++current_bucket(window, now).requests;
}

bool try_shift(shift_window& window,
               configuration::policy const& policy,
               kernel::monotonic_time now)
{
    update_permitted_fraction(window, policy, now);
    auto const sums = sum_window(window, now);
    auto const permitted = window.permitted_fraction * static_cast<double>(sums.requests);
    if (static_cast<double>(sums.shifted + 1) > permitted)
        return false;
    ++current_bucket(window, now).shifted;
    return true;
}

void cancel_shift(shift_window& window, kernel::monotonic_time now)
{
    auto const oldest = second_of(now) - static_cast<std::int64_t>(shift_window_buckets);
    shift_window::bucket* newest = nullptr;
    for (auto& bucket : window.buckets)
    {
        bool const is_candidate = bucket.second > oldest && bucket.shifted > 0;
        if (is_candidate && (newest == nullptr || bucket.second > newest->second))
            newest = &bucket;
    }
    if (newest != nullptr)
        --newest->shifted;
}

} // namespace pistachiohub::limit
