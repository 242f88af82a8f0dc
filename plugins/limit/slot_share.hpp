#pragma once

/// @file
/// Division of the backend servers' slots among the entry hosts of a failure domain.

#include "kernel/clock.hpp"
#include "libraries/view/world_view.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace pistachiohub::limit
{

/// Time over which a new or returned backend server's usable slots grow from 1 to its full share.
inline constexpr kernel::duration slow_start_time = std::chrono::seconds(20);

/// Divides the slots of one backend server among the live entry hosts of its failure domain.
///
/// Each host gets floor(slots / hosts); the remainder goes to the hosts with the highest
/// rendezvous hash for this server. The shares of all hosts sum to `slots`.
/// @param slots slots of the backend server.
/// @param backend_server name of the backend server.
/// @param entry_hosts names of the live entry hosts, in any order, without duplicates.
/// @param own_name one of `entry_hosts`.
/// @returns the slots that `own_name` may use.
[[nodiscard]] std::uint32_t slot_share(std::uint32_t slots,
                                       std::string_view backend_server,
                                       std::span<std::string_view const> entry_hosts,
                                       std::string_view own_name);

/// @returns the slots of `server` that this daemon may use at `now`: its share, limited by slow
/// start, or 0 if the server is not live.
[[nodiscard]] std::uint32_t usable_slots(view::backend_server const& server,
                                         kernel::monotonic_time now);

} // namespace pistachiohub::limit
