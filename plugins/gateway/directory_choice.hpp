#pragma once

/// @file
/// Chooses the entry hosts that callers are told to use.
///
/// Load pattern: the hosts of a failure domain differ by far in processor and link, and callers
/// pick each of the named hosts equally often. A narrow link then delays the bodies of as many
/// requests as a wide one carries, and many hosts that see each backend server and each customer
/// rarely know little of their load.

#include "kernel/gateway_settings.hpp"
#include "libraries/routing/route.hpp"

#include <vector>

namespace pistachiohub::gateway
{

/// A host that callers may be told to use.
struct host_candidate
{
    /// Weight among the hosts, see kernel::serving_capacity().
    double capacity = 0;
    kernel::endpoint callers;
};

/// Part of the greatest capacity from which a host is always named. Callers spread evenly, so a
/// named host of this capacity is used twice as much for its size as the greatest.
inline constexpr double min_relative_capacity = 0.5;

/// Part of the capacity of all candidates that the named ones have at least.
inline constexpr double min_named_capacity = 0.5;

/// Least number of large hosts, so that the loss of one leaves callers an address that they know.
inline constexpr std::size_t min_named_hosts = 2;

/// @param document the configuration in force; null before the first one.
/// @returns whether callers are told only of hosts with enough capacity.
[[nodiscard]] bool names_by_capacity(kernel::directory_rule rule,
                                     routing::routing_document const* document);

/// Leaves out the hosts that are small beside the others, if at least `min_named_hosts` large ones
/// have `min_named_capacity` of the whole. Otherwise all are named: callers spread evenly, so a few
/// small hosts beside one large host would get several times their share.
/// @param candidates live hosts.
/// @returns the hosts to name, in the same order.
[[nodiscard]] std::vector<host_candidate>
select_by_capacity(std::vector<host_candidate> candidates);

} // namespace pistachiohub::gateway
