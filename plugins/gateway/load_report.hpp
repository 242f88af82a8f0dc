#pragma once

/// @file
/// Encoding of the backend server loads that daemons share with each other.
///
/// Many entry hosts may send requests to the same backend servers. Each host then sends a server a
/// request only every few seconds and receives its load as rarely, so that all hosts queue requests
/// at the servers of popular objects while other servers are idle. Therefore daemons that share a
/// reader of the store also share the loads that they receive.

#include "kernel/clock.hpp"
#include "plugins/gateway/server_table.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::gateway
{

/// The load that a server reported to one of the daemons.
struct shared_load
{
    /// Hash of the server's id.
    std::uint64_t server_hash = 0;
    server_load load;
    /// Time since the server reported the load.
    std::chrono::milliseconds age{0};
};

/// Maximum number of loads in one datagram, so that it fits in one Ethernet frame with its headers.
inline constexpr std::size_t max_loads_per_datagram = 75;

/// The same in datagrams of version 1, which hold the running and waiting requests as one number
/// and neither slots nor slowdown.
inline constexpr std::size_t max_loads_per_datagram_of_version_1 = 100;

/// Age from which a load is outdated and is neither sent nor applied.
inline constexpr std::chrono::milliseconds max_shared_load_age{2000};

/// @returns datagrams of up to `max_loads_per_datagram` loads each; one datagram without loads if
/// `loads` is empty.
[[nodiscard]] std::vector<std::string> encode_loads(std::span<shared_load const> loads);

/// @returns the loads of a datagram of version 1 or 2, or nothing if it is malformed or has another
/// version.
[[nodiscard]] std::optional<std::vector<shared_load>> decode_loads(std::string_view datagram);

/// Selects which loads are collected.
enum class load_source
{
    /// Loads that servers reported to this daemon.
    own,
    /// Also loads that were received from other daemons.
    all
};

/// @returns the loads that this daemon has received after `since` and that are not outdated.
[[nodiscard]] std::vector<shared_load> collect_loads(server_table const& table,
                                                     load_source source,
                                                     kernel::monotonic_time since,
                                                     kernel::monotonic_time now);

/// Applies loads that were received from another daemon, where they are newer than the known ones.
/// @returns the number of loads that were applied.
std::size_t
apply_loads(server_table& table, std::span<shared_load const> loads, kernel::monotonic_time now);

} // namespace pistachiohub::gateway
