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

/// Of the requests whose server is at a distance, the part that is sent there. The others find no
/// room and do not run.
struct served_parts
{
    double own_region = 1;
    double other_regions = 1;
};

/// Requests of one service whose first server is at a distance, and those that were sent there.
/// Older requests count less.
struct served_count
{
    double wanted = 0;
    double sent = 0;
};

/// @returns the part that was sent, 1 before the first request.
[[nodiscard]] double served_part(served_count const& count);

/// Lets the requests so far count less; called at each update of the parts.
void fade(served_count& count);

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

/// Starts the parts where each slot of the service gets the same load. A start moves nothing, and
/// from there the parts can only creep.
/// @param region_load part of all callers that the own region has.
void start_spill(spill_state& state,
                 slot_counts const& slots,
                 double region_load,
                 kernel::monotonic_time now);

/// @returns the part of the running requests that run in other regions, when the part
/// `region_part` of all requests stays in the own one.
[[nodiscard]] double outside_part_of_runs(double region_part, served_parts const& served);

/// Moves the parts by what is seen now.
///
/// Invariant: within any two seconds `region_part` moves `outside_part_of_runs` by at most
/// `share_of_shift * most_shift`. Requests that are refused do not run, so in a crowded region the
/// same part of the objects is a larger part of the runs.
/// @param most_shift fraction of a region's requests that may change their region in two seconds.
void update_spill(spill_state& state,
                  utilisation const& seen,
                  slot_counts const& slots,
                  served_parts const& served,
                  double most_shift,
                  kernel::monotonic_time now);

/// @returns weights with which the wanted part of the objects stays in the region. No slot weighs
/// more than a nearer one.
[[nodiscard]] slot_weights weights_of(spill_state const& state, slot_counts const& slots);

} // namespace pistachiohub::gateway
