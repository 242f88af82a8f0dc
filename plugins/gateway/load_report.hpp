#pragma once

/// @file
/// What daemons tell each other of the load of backend servers.
///
/// Answers the load pattern of many entry hosts before the same backend servers: each host sends a
/// server a request every few seconds and hears its load as seldom, so all of them queue at the
/// servers of popular objects while others are idle. The daemons that share a reader of the store
/// share the loads that they hear as well.

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

/// The load that one server reported to some daemon.
struct shared_load
{
    /// Hash of the server's id.
    std::uint64_t server_hash = 0;
    /// Running and waiting requests of all daemons.
    std::uint16_t requests = 0;
    std::chrono::milliseconds age{0};
};

/// Loads in one datagram at most. With its addresses it fits in one Ethernet frame.
inline constexpr std::size_t most_loads_in_datagram = 100;

/// Age above which a load says nothing any more.
inline constexpr std::chrono::milliseconds oldest_shared_load{2000};

/// @returns one datagram for each `most_loads_in_datagram` loads; one without loads if there are
/// none.
[[nodiscard]] std::vector<std::string> encode_loads(std::span<shared_load const> loads);

/// @returns the loads of a datagram, or nothing when it has another form.
[[nodiscard]] std::optional<std::vector<shared_load>> decode_loads(std::string_view datagram);

/// Which loads are told.
enum class load_source
{
    /// Those that this daemon heard itself.
    own,
    /// Those that others told it as well.
    all
};

/// @returns the loads that this daemon has learned after `since`.
[[nodiscard]] std::vector<shared_load> collect_loads(server_table const& table,
                                                     load_source source,
                                                     kernel::monotonic_time since,
                                                     kernel::monotonic_time now);

/// Notes loads that another daemon told, where they are newer than what is known.
/// @returns how many were newer.
std::size_t
apply_loads(server_table& table, std::span<shared_load const> loads, kernel::monotonic_time now);

} // namespace pistachiohub::gateway
