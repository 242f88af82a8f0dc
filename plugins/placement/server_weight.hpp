#pragma once

/// @file
/// Weight of a backend server for the placement of objects, adapted slowly to its load.
///
/// Load pattern: the slots of a region are nearly exhausted, and some servers have more load than
/// others because their objects are more popular or less often warm. Overflow of single requests
/// would run objects where they are cold. Instead a server of high load keeps a smaller part of the
/// objects, always the same ones, because a lower weight in rendezvous hashing only takes objects
/// away. Each host computes the weights from the loads that all hosts share.

#include "kernel/clock.hpp"

#include <optional>

namespace pistachiohub::placement
{

/// Smallest and largest factor on the slots of a server. They bound the share of the objects that a
/// server may lose or gain.
inline constexpr double min_factor = 0.8;
inline constexpr double max_factor = 1.1;
/// Difference from the load of the region, in requests for each slot, at which the factor begins to
/// change, and the one at which it stops again.
inline constexpr double start_difference = 0.2;
inline constexpr double stop_difference = 0.1;
/// Load of the region, in requests for each slot, above which the factors change and below which
/// they return to 1. With free slots the shares follow the slots alone.
inline constexpr double adapt_threshold = 0.7;
inline constexpr double return_threshold = 0.4;
/// Largest change of a factor in a second: one object in a hundred of the server.
inline constexpr double max_change_per_second = 0.01;

/// Requests for each slot at one moment.
struct load_sample
{
    double server = 0;
    /// Of all servers of its region together.
    double region = 0;
};

/// State of one server.
struct server_weight
{
    /// Factor on the slots of the server.
    double factor = 1;
    /// Moving averages; empty before the first sample.
    std::optional<load_sample> smoothed;
    /// -1 while the factor falls, 1 while it rises, 0 otherwise.
    int direction = 0;
    kernel::monotonic_time updated_at;
};

/// Adapts the factor to the load of the server.
void adapt(server_weight& state, load_sample const& newest, kernel::monotonic_time now);

} // namespace pistachiohub::placement
