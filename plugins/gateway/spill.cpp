#include "plugins/gateway/spill.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

namespace
{

// A longer gap says nothing about the time between, for example after a pause of the process.
constexpr std::chrono::duration<double> longest_step{1};
// What older requests still count after an update. At four updates a second this is a memory of two
// seconds, the window of the bound.
constexpr double kept_by_update = 0.88;

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

// Returns how far a part moves, as a part of a step.
double speed(int where)
{
    return where > 0 ? return_speed : where;
}

// Returns the part of the requests that stays at home when `outside` of the runs are elsewhere.
double region_part_for(double outside, served_parts const& served)
{
    auto const stays = served.other_regions * (1 - outside);
    auto const leaves = served.own_region * outside;
    return stays + leaves > 0 ? stays / (stays + leaves) : 1;
}

// Moves the region's part so that the runs outside change by at most `step`.
double move_region(double part, int where, double step, double floor, served_parts const& served)
{
    auto const outside = outside_part_of_runs(part, served);
    auto const inward = part < floor ? 1 : speed(where);
    auto const moved = region_part_for(std::clamp(outside - inward * step, 0.0, 1.0), served);
    return part < floor ? std::min(moved, floor) : std::clamp(moved, floor, 1.0);
}

// Moves a part by at most `step` and not below `floor`; a part that is below, because slots have
// moved, comes back by steps too.
double move(double part, int where, double step, double floor)
{
    if (part < floor)
        return std::min(part + step, floor);
    return std::clamp(part + speed(where) * step, floor, 1.0);
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

double served_part(served_count const& count)
{
    // One request more keeps the part of a few requests away from zero.
    return std::min(1.0, (count.sent + 1) / (count.wanted + 1));
}

void fade(served_count& count)
{
    count.wanted *= kept_by_update;
    count.sent *= kept_by_update;
}

void start_spill(spill_state& state,
                 slot_counts const& slots,
                 double region_load,
                 kernel::monotonic_time now)
{
    auto const home = slots.own_domain + slots.own_region;
    if (home + slots.other_regions <= 0)
        return;
    auto const region_slots = share(home, home + slots.other_regions);
    state.region_part = region_load > 0 ? std::min(1.0, region_slots / region_load) : 1;
    state.updated_at = now;
    state.is_started = true;
}

double outside_part_of_runs(double region_part, served_parts const& served)
{
    auto const stays = region_part * served.own_region;
    auto const leaves = (1 - region_part) * served.other_regions;
    return share(leaves, stays + leaves);
}

void update_spill(spill_state& state,
                  utilisation const& seen,
                  slot_counts const& slots,
                  served_parts const& served,
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
    state.region_part = move_region(state.region_part,
                                    direction(seen.own_region, seen.everywhere),
                                    region_step,
                                    share(home, home + slots.other_regions),
                                    served);
}

slot_weights weights_of(spill_state const& state, slot_counts const& slots)
{
    auto const home = slots.own_domain + slots.own_region;
    return {1, weight_outside(state.region_part, home, slots.other_regions)};
}

} // namespace pistachiohub::gateway
