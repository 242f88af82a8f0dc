#pragma once

/// @file
/// Load spillover: the fraction of a service's objects that is placed outside the own failure
/// domain and the own region.
///
/// Load pattern: one failure domain has fewer slots than its callers need, for minutes or in waves.
/// Moving single requests whenever slots run out would send each object to different servers, none
/// of which has it cached. Instead a fraction of the objects moves, always the same ones, and the
/// fraction changes slowly.

#include "kernel/clock.hpp"

#include <optional>

namespace pistachiohub::gateway
{

/// Utilisation of the servers of one service: load divided by slots. Empty where there are no
/// servers.
struct utilisation
{
    /// Servers of the own failure domain.
    std::optional<double> own_domain;
    /// Servers of the own region, including the own failure domain.
    std::optional<double> own_region;
    /// Servers of all regions.
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

/// Fractions, by region, of the requests assigned to a server there that are sent. The other
/// requests find no free slot and do not run.
struct served_fractions
{
    double own_region = 1;
    double other_regions = 1;
};

/// Recent requests of one service to servers of the own region or of other regions. The counts
/// decay with decay().
struct served_counts
{
    /// Requests whose first choice of server is there.
    double assigned = 0;
    /// Requests whose first send went there.
    double sent = 0;
};

/// @returns the fraction of the assigned requests that was sent, 1 before the first request.
[[nodiscard]] double served_fraction(served_counts const& count);

/// Reduces the weight of the requests counted so far. Called once for each update_spill().
void decay(served_counts& count);

/// Fractions of one service's load that stay near. They do not fall below the own share of the
/// slots, because moving more would only overload the others.
struct spill_state
{
    /// Fraction of the requests without an object that is placed in the own failure domain.
    double domain_fraction = 1;
    /// Fraction of all requests that is placed in the own region.
    double region_fraction = 1;
    kernel::monotonic_time updated_at;
    bool is_started = false;
};

/// Weights of a slot for rendezvous hashing. All slots of a region have the same weight for all of
/// its daemons, so that these agree on one server for each object: a copy for each failure domain
/// would be cold as often, and an overloaded region has no room for it.
struct slot_weights
{
    double own_region = 1;
    double other_regions = 0;
};

/// Utilisation above which objects leave. Waiting times grow faster than the utilisation.
inline constexpr double spill_threshold = 0.8;
/// Utilisation below which objects return. Returning objects are not cached at home, so the gap to
/// `spill_threshold` is wide.
inline constexpr double return_threshold = 0.4;
/// Fraction of the shift bound that changes of `region_fraction` use. The rest is left for requests
/// that change their region for other reasons.
inline constexpr double used_shift_fraction = 0.75;
/// Window over which the shift of requests between regions is bounded.
inline constexpr std::chrono::duration<double> shift_window{2};
/// Largest change of `domain_fraction` in a second. Moves inside a region are not subject to the
/// shift bound.
inline constexpr double max_domain_change_per_second = 0.2;
/// Rate at which objects return, relative to the rate at which they leave.
inline constexpr double return_rate_factor = 0.2;

/// Initialises the fractions so that each slot of the service gets the same load. This moves no
/// objects, because none has been placed before; afterwards the fractions change only slowly. Does
/// nothing while the service has no slots.
/// @param caller_share fraction of all callers that are in the own region.
void start_spill(spill_state& state,
                 slot_counts const& slots,
                 double caller_share,
                 kernel::monotonic_time now);

/// @returns the fraction of the running requests that run in other regions, when the fraction
/// `region_fraction` of all requests is placed in the own one.
[[nodiscard]] double outside_fraction_of_runs(double region_fraction,
                                              served_fractions const& served);

/// Adapts the fractions to the measured utilisation.
///
/// Invariant: within any two seconds a change of `region_fraction` changes
/// outside_fraction_of_runs() by at most `used_shift_fraction * max_shift`. Refused requests do not
/// run, so in an overloaded region the same fraction of the objects is a larger fraction of the
/// runs.
/// @param max_shift fraction of a region's requests that may change their region in two seconds.
void update_spill(spill_state& state,
                  utilisation const& measured,
                  slot_counts const& slots,
                  served_fractions const& served,
                  double max_shift,
                  kernel::monotonic_time now);

/// @returns slot weights that place `region_fraction` of the objects in the own region. No slot
/// weighs more than a nearer one.
[[nodiscard]] slot_weights weights_of(spill_state const& state, slot_counts const& slots);

} // namespace pistachiohub::gateway
