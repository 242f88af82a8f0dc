#pragma once

/// @file
/// Choice among the backend servers of the own failure domain.

#include "plugins/steer/destination.hpp"

namespace pistachiohub::steer
{

/// What the own failure domain offers a request.
struct local_choice
{
    /// The chosen backend server, or `no_index`.
    view::index backend_server = view::no_index;
    /// A live server could take the request later.
    bool may_wait = false;
};

/// Chooses by power of two choices over load among servers with a usable slot.
[[nodiscard]] local_choice choose_local(view::world_view const& world,
                                        std::span<server_usage const> usage,
                                        request_facts const& request,
                                        kernel::monotonic_time now,
                                        std::uint64_t random);

/// Baseline: the servers in turn, without regard to slots or load.
/// @param turn a number that grows with each request, or a random one.
[[nodiscard]] local_choice
choose_round_robin(view::world_view const& world, request_facts const& request, std::uint64_t turn);

/// Baseline: the server with the fewest requests of this daemon, without regard to slots.
[[nodiscard]] local_choice choose_least_connections(view::world_view const& world,
                                                    std::span<server_usage const> usage,
                                                    request_facts const& request,
                                                    std::uint64_t random);

} // namespace pistachiohub::steer
