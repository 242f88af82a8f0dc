#pragma once

/// @file
/// Splits the requests of a route among services by weight.

#include "libraries/routing/route.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pistachiohub::gateway
{

/// State of the round robin over the parts of one route.
struct weighted_round_robin
{
    /// Current weight of each part: what it has gained in each selection, less the total weight for
    /// each selection of this part.
    std::vector<std::int64_t> current_weights;
};

/// Selects the part for the next request by smooth weighted round robin. After every request the
/// share of each part is close to its weight, so the shares over all daemons follow the weights
/// too.
/// @param split the parts of the route; not empty, and the same ones in every call with `state`.
/// @returns the index of the selected part in `split`.
[[nodiscard]] std::size_t select_next_part(weighted_round_robin& state,
                                           std::vector<routing::split_part> const& split);

} // namespace pistachiohub::gateway
