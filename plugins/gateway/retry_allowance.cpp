#include "plugins/gateway/retry_allowance.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

namespace
{

std::int64_t bucket_number(retry_bounds const& bounds, kernel::monotonic_time now)
{
    auto const bucket_length = std::max<kernel::duration>(
        bounds.window / retry_allowance::buckets_per_window, std::chrono::milliseconds(1));
    return now.time_since_epoch() / bucket_length;
}

// Returns the bucket for `number`, cleared if it still holds an older one.
retry_allowance::bucket& current_bucket(retry_allowance& state, std::int64_t number)
{
    auto& bucket = state.counts[static_cast<std::uint64_t>(number) % retry_allowance::bucket_count];
    if (bucket.number != number)
        bucket = {number, 0, 0};
    return bucket;
}

} // namespace

void record_request(retry_allowance& state, retry_bounds const& bounds, kernel::monotonic_time now)
{
    ++current_bucket(state, bucket_number(bounds, now)).requests;
}

bool try_retry(retry_allowance& state,
               retry_bounds const& bounds,
               std::size_t daemon_count,
               kernel::monotonic_time now)
{
    auto const number = bucket_number(bounds, now);
    auto& newest = current_bucket(state, number);
    double requests = 0;
    double retries = 0;
    for (auto const& bucket : state.counts)
    {
        if (bucket.number <= number - static_cast<std::int64_t>(retry_allowance::bucket_count))
            continue;
        if (bucket.number > number - static_cast<std::int64_t>(retry_allowance::buckets_per_window))
            requests += static_cast<double>(bucket.requests);
        retries += static_cast<double>(bucket.retries);
    }
    auto const extra_share =
        bounds.extra / static_cast<double>(std::max<std::size_t>(daemon_count, 1));
    if (retries + 1 > retry_budget_safety_factor * (bounds.ratio * requests + extra_share))
        return false;
    ++newest.retries;
    return true;
}

} // namespace pistachiohub::gateway
