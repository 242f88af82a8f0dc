#include "plugins/gateway/retry_allowance.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

namespace
{

std::int64_t number_of(retry_bounds const& bounds, kernel::monotonic_time now)
{
    auto const length = std::max<kernel::duration>(
        bounds.window / retry_allowance::buckets_of_window, std::chrono::milliseconds(1));
    return now.time_since_epoch() / length;
}

retry_allowance::bucket& current(retry_allowance& state, std::int64_t number)
{
    auto& bucket = state.counts[static_cast<std::uint64_t>(number) % retry_allowance::buckets];
    if (bucket.number != number)
        bucket = {number, 0, 0};
    return bucket;
}

} // namespace

void record_request(retry_allowance& state, retry_bounds const& bounds, kernel::monotonic_time now)
{
    ++current(state, number_of(bounds, now)).requests;
}

bool try_repeat(retry_allowance& state,
                retry_bounds const& bounds,
                std::size_t daemons,
                kernel::monotonic_time now)
{
    auto const number = number_of(bounds, now);
    auto& newest = current(state, number);
    double requests = 0;
    double repeats = 0;
    for (auto const& bucket : state.counts)
    {
        if (bucket.number <= number - static_cast<std::int64_t>(retry_allowance::buckets))
            continue;
        if (bucket.number > number - static_cast<std::int64_t>(retry_allowance::buckets_of_window))
            requests += static_cast<double>(bucket.requests);
        repeats += static_cast<double>(bucket.repeats);
    }
    auto const share = bounds.extra / static_cast<double>(std::max<std::size_t>(daemons, 1));
    if (repeats + 1 > used_part_of_budget * (bounds.ratio * requests + share))
        return false;
    ++newest.repeats;
    return true;
}

} // namespace pistachiohub::gateway
