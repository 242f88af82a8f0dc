#pragma once

/// @file
/// Choice among the backend servers of this daemon's own failure domain.

#include "plugins/steer/destination.hpp"

namespace pistachiohub::steer
{

/// Result of a choice in the own failure domain.
struct local_choice
{
    /// The chosen backend server, or `no_index`.
    view::index backend_server = view::no_index;
    /// An eligible server is live, so a slot may become free later.
    bool may_wait = false;
};

/// Chooses the less loaded of two random servers with a free slot (power of two choices).
[[nodiscard]] local_choice choose_local(view::world_view const& world,
                                        std::span<server_usage const> usage,
                                        request_facts const& request,
                                        kernel::monotonic_time now,
                                        std::uint64_t random);

/// Baseline for comparisons: round robin over the servers, without regard to slots or load.
/// @param turn a number that increases with each request, or a random one.
[[nodiscard]] local_choice
choose_round_robin(view::world_view const& world, request_facts const& request, std::uint64_t turn);

/// Baseline for comparisons: the server with the fewest requests of this daemon in flight, without
/// regard to slots.
[[nodiscard]] local_choice choose_least_connections(view::world_view const& world,
                                                    std::span<server_usage const> usage,
                                                    request_facts const& request,
                                                    std::uint64_t random);

} // namespace pistachiohub::steer
