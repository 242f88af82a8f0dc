#include "plugins/gateway/spill.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

namespace
{

// A longer gap says nothing about the time between, for example after a pause of the process.
constexpr std::chrono::duration<double> longest_step{1};

// Returns the direction in which a part moves: leave when the near servers are crowded and the
// others less so, return when they are calm.
int direction(std::optional<double> const& near, std::optional<double> const& far)
{
    if (!near)
        return far ? -1 : 0;
    if (!far)
        return 1;
    if (*near > crowded_utilisation && *far < *near)
        return -1;
    return *near < calm_utilisation ? 1 : 0;
}

} // namespace

void update_spill(spill_state& state,
                  utilisation const& seen,
                  double most_shift,
                  kernel::monotonic_time now)
{
    if (!state.is_started)
    {
        state.is_started = true;
        state.updated_at = now;
        return;
    }
    auto const passed =
        std::min<std::chrono::duration<double>>(now - state.updated_at, longest_step);
    state.updated_at = now;
    auto const region_step = share_of_shift * most_shift * (passed / shift_window);
    auto const domain_step = domain_change_per_second * passed.count();
    auto const move = [](double part, int where, double step)
    {
        return std::clamp(part + where * step, 0.0, 1.0);
    };
    state.domain_part =
        move(state.domain_part, direction(seen.own_domain, seen.own_region), domain_step);
    state.region_part =
        move(state.region_part, direction(seen.own_region, seen.everywhere), region_step);
}

} // namespace pistachiohub::gateway
