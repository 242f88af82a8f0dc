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

double share(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

// Moves a part by at most `step` and not below `floor`; a part that is below, because slots have
// moved, comes back by steps too.
double move(double part, int where, double step, double floor)
{
    if (part < floor)
        return std::min(part + step, floor);
    auto const change = where > 0 ? return_speed * step : where * step;
    return std::clamp(part + change, floor, 1.0);
}

// Returns the weight of a slot outside, with which `part` of the objects stays inside.
double weight_outside(double part, double inside_slots, double outside_slots)
{
    if (inside_slots <= 0 || part <= 0)
        return 1;
    if (outside_slots <= 0)
        return 0;
    return std::min(1.0, (1 - part) / part * inside_slots / outside_slots);
}

} // namespace

void update_spill(spill_state& state,
                  utilisation const& seen,
                  slot_counts const& slots,
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
    auto const home = slots.own_domain + slots.own_region;
    state.domain_part = move(state.domain_part,
                             direction(seen.own_domain, seen.own_region),
                             domain_step,
                             share(slots.own_domain, home));
    state.region_part = move(state.region_part,
                             direction(seen.own_region, seen.everywhere),
                             region_step,
                             share(home, home + slots.other_regions));
}

slot_weights weights_of(spill_state const& state, slot_counts const& slots)
{
    auto const home = slots.own_domain + slots.own_region;
    return {1, weight_outside(state.region_part, home, slots.other_regions)};
}

} // namespace pistachiohub::gateway
