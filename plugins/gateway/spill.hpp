#pragma once

/// @file
/// Which part of a service's objects leaves the own failure domain and the own region.
///
/// Answers the load pattern in which one failure domain has fewer slots than its callers need, for
/// minutes or in waves. Moving single requests when slots run out would send each object to
/// different servers, all of them without it in their caches. So a part of the objects moves,
/// always the same ones, and the part changes slowly.

#include "kernel/clock.hpp"

#include <optional>

namespace pistachiohub::gateway
{

/// How busy the servers of one service are, by distance; missing where there are none.
struct utilisation
{
    std::optional<double> own_domain;
    std::optional<double> own_region;
    std::optional<double> everywhere;
};

/// Slots of one service.
struct slot_counts
{
    double own_domain = 0;
    /// In the other failure domains of the own region.
    double own_region = 0;
    double other_regions = 0;
};

/// Parts of one service's load that stay near. They do not fall below the own share of the slots,
/// because moving more would only crowd the others.
struct spill_state
{
    /// Of the requests without an object, those that stay in the own failure domain.
    double domain_part = 1;
    /// Of all requests, those that stay in the own region.
    double region_part = 1;
    kernel::monotonic_time updated_at;
    bool is_started = false;
};

/// Weights of a slot for rendezvous hashing. All slots of a region weigh the same for all its
/// daemons, so that these agree on one server for each object: a copy for each failure domain would
/// be cold as often, and in a crowded region there is no room for it.
struct slot_weights
{
    double own_region = 1;
    double other_regions = 0;
};

/// Utilisation above which objects leave, because waits grow faster than the use of the slots.
inline constexpr double crowded_utilisation = 0.8;
/// Utilisation below which objects return. Returning objects are cold at home, so the gap is wide.
inline constexpr double calm_utilisation = 0.4;
/// Share of the permitted change that the region's part uses. The rest is left for requests that
/// move for other reasons.
inline constexpr double share_of_shift = 0.75;
/// Window over which a change of regions is bounded.
inline constexpr std::chrono::duration<double> shift_window{2};
/// Largest change of the domain's part in a second; moves inside a region are not bounded.
inline constexpr double domain_change_per_second = 0.2;
/// Speed at which objects return, as a part of the speed at which they leave.
inline constexpr double return_speed = 0.2;

/// Moves the parts by what is seen now.
///
/// Invariant: within any two seconds `region_part` changes by at most `share_of_shift *
/// most_shift`.
/// @param most_shift fraction of a region's requests that may change their region in two seconds.
void update_spill(spill_state& state,
                  utilisation const& seen,
                  slot_counts const& slots,
                  double most_shift,
                  kernel::monotonic_time now);

/// @returns weights with which the wanted part of the objects stays in the region. No slot weighs
/// more than a nearer one.
[[nodiscard]] slot_weights weights_of(spill_state const& state, slot_counts const& slots);

} // namespace pistachiohub::gateway
