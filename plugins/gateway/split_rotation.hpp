#pragma once

/// @file
/// Distributes the requests of a route among services by weight.

#include "libraries/routing/route.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pistachiohub::gateway
{

/// The turn of each part of one route.
struct split_rotation
{
    std::vector<std::int64_t> credits;
};

/// Smooth weighted round robin: each part's share of the requests follows its weight at any time,
/// so the shares of all daemons add up to the weights too.
/// @returns the position of the part whose turn it is.
[[nodiscard]] std::size_t next_part(split_rotation& rotation,
                                    std::vector<routing::split_part> const& split);

} // namespace pistachiohub::gateway
