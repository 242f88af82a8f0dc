#include "plugins/placement/server_weight.hpp"

#include <algorithm>

namespace pistachiohub::placement
{

namespace
{

using seconds_value = std::chrono::duration<double>;

// Time constant of the moving averages. The load of a server of 4 slots varies by about a quarter
// of them within a run, so that a shorter one would follow noise.
constexpr seconds_value smoothing_time{5};
// Upper limit of the time that one update accounts for. After a longer gap, such as a pause of the
// process, the load in between is unknown.
constexpr seconds_value max_update_interval{1};

int next_direction(int direction, double difference)
{
    if (difference > start_difference)
        return -1;
    if (difference < -start_difference)
        return 1;
    bool const is_settled =
        direction < 0 ? difference < stop_difference : difference > -stop_difference;
    return is_settled ? 0 : direction;
}

} // namespace

void adapt(server_weight& state, load_sample const& newest, kernel::monotonic_time now)
{
    auto const elapsed = std::min<seconds_value>(now - state.updated_at, max_update_interval);
    state.updated_at = now;
    if (!state.smoothed)
    {
        state.smoothed = newest;
        return;
    }
    auto& smoothed = *state.smoothed;
    auto const newest_weight = elapsed / smoothing_time;
    smoothed.server += newest_weight * (newest.server - smoothed.server);
    smoothed.region += newest_weight * (newest.region - smoothed.region);
    auto const step = max_change_per_second * elapsed.count();
    if (smoothed.region < return_threshold)
    {
        state.direction = 0;
        state.factor = std::clamp(1.0, state.factor - step, state.factor + step);
        return;
    }
    state.direction = smoothed.region < adapt_threshold
                          ? 0
                          : next_direction(state.direction, smoothed.server - smoothed.region);
    state.factor = std::clamp(state.factor + state.direction * step, min_factor, max_factor);
}

} // namespace pistachiohub::placement
