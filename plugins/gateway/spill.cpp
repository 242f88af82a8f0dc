#include "plugins/gateway/spill.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

namespace
{

// Upper limit of the time that one update accounts for. After a longer gap, such as a pause of the
// process, the load in between is unknown.
constexpr std::chrono::duration<double> max_update_interval{1};
// Factor by which each update scales down the counts of earlier requests. At four updates a second
// the counts cover about two seconds, the window of the shift bound.
constexpr double retained_per_update = 0.88;

// Returns the direction in which a fraction changes: -1 (objects leave) when the near servers are
// above the spill threshold and the far ones are less utilised, 1 (objects return) when the near
// ones are below the return threshold, 0 otherwise.
int spill_direction(std::optional<double> const& near, std::optional<double> const& far)
{
    if (!near)
        return far ? -1 : 0;
    if (!far)
        return 1;
    if (*near > spill_threshold && *far < *near)
        return -1;
    return *near < return_threshold ? 1 : 0;
}

double ratio(double fraction, double total)
{
    return total > 0 ? fraction / total : 0;
}

// Returns the change of a fraction in units of a step; objects return more slowly than they leave.
double signed_rate(int sign)
{
    return sign > 0 ? return_rate_factor : sign;
}

// Returns the fraction of the requests that is placed in the own region when the fraction `outside`
// of the runs is in other regions; the inverse of outside_fraction_of_runs().
double region_fraction_for(double outside, served_fractions const& served)
{
    auto const staying = served.other_regions * (1 - outside);
    auto const leaving = served.own_region * outside;
    return staying + leaving > 0 ? staying / (staying + leaving) : 1;
}

// Changes the region's fraction so that the fraction of the runs in other regions changes by at
// most `step`. A fraction below `floor` returns to it in steps too.
double step_region_fraction(
    double fraction, int sign, double step, double floor, served_fractions const& served)
{
    auto const outside = outside_fraction_of_runs(fraction, served);
    auto const rate = fraction < floor ? 1 : signed_rate(sign);
    auto const adjusted = region_fraction_for(std::clamp(outside - rate * step, 0.0, 1.0), served);
    return fraction < floor ? std::min(adjusted, floor) : std::clamp(adjusted, floor, 1.0);
}

// Changes a fraction by at most `step` and not below `floor`. A fraction that is below it already,
// because the numbers of slots have changed, returns to it in steps too.
double step_fraction(double fraction, int sign, double step, double floor)
{
    if (fraction < floor)
        return std::min(fraction + step, floor);
    return std::clamp(fraction + signed_rate(sign) * step, floor, 1.0);
}

// Returns the weight of an outside slot, relative to an inside one, that places the given fraction
// of the objects inside.
double outside_weight(double fraction, double inside_slots, double outside_slots)
{
    if (inside_slots <= 0 || fraction <= 0)
        return 1;
    if (outside_slots <= 0)
        return 0;
    return std::min(1.0, (1 - fraction) / fraction * inside_slots / outside_slots);
}

} // namespace

double served_fraction(served_counts const& count)
{
    // Adding 1 to both counts keeps the fraction of a few requests away from 0.
    return std::min(1.0, (count.sent + 1) / (count.assigned + 1));
}

void decay(served_counts& count)
{
    count.assigned *= retained_per_update;
    count.sent *= retained_per_update;
}

void start_spill(spill_state& state,
                 slot_counts const& slots,
                 double caller_share,
                 kernel::monotonic_time now)
{
    auto const slots_in_region = slots.own_domain + slots.own_region;
    if (slots_in_region + slots.other_regions <= 0)
        return;
    auto const slot_share = ratio(slots_in_region, slots_in_region + slots.other_regions);
    state.region_fraction = caller_share > 0 ? std::min(1.0, slot_share / caller_share) : 1;
    state.updated_at = now;
    state.is_started = true;
}

double outside_fraction_of_runs(double region_fraction, served_fractions const& served)
{
    auto const staying = region_fraction * served.own_region;
    auto const leaving = (1 - region_fraction) * served.other_regions;
    return ratio(leaving, staying + leaving);
}

void update_spill(spill_state& state,
                  utilisation const& measured,
                  slot_counts const& slots,
                  served_fractions const& served,
                  double max_shift,
                  kernel::monotonic_time now)
{
    if (!state.is_started)
    {
        state.is_started = true;
        state.updated_at = now;
        return;
    }
    auto const elapsed =
        std::min<std::chrono::duration<double>>(now - state.updated_at, max_update_interval);
    state.updated_at = now;
    auto const region_step = used_shift_fraction * max_shift * (elapsed / shift_window);
    auto const domain_step = max_domain_change_per_second * elapsed.count();
    auto const slots_in_region = slots.own_domain + slots.own_region;
    state.domain_fraction = step_fraction(state.domain_fraction,
                                          spill_direction(measured.own_domain, measured.own_region),
                                          domain_step,
                                          ratio(slots.own_domain, slots_in_region));
    state.region_fraction =
        step_region_fraction(state.region_fraction,
                             spill_direction(measured.own_region, measured.everywhere),
                             region_step,
                             ratio(slots_in_region, slots_in_region + slots.other_regions),
                             served);
}

slot_weights weights_of(spill_state const& state, slot_counts const& slots)
{
    auto const slots_in_region = slots.own_domain + slots.own_region;
    return {1, outside_weight(state.region_fraction, slots_in_region, slots.other_regions)};
}

} // namespace pistachiohub::gateway
