#pragma once

/// @file
/// Which configurations a daemon applies, and when it asks a peer for one.

#include "kernel/clock.hpp"
#include "libraries/configuration/configuration.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pistachiohub::config
{

/// Shortest time between two requests to the same peer.
inline constexpr kernel::duration peer_request_interval = std::chrono::milliseconds(200);
/// Shortest time between two requests to any peers, so that a daemon that is behind does not
/// receive the same document from all peers at once.
inline constexpr kernel::duration any_request_interval = std::chrono::milliseconds(50);

/// The configuration in force, with its JSON text for handing on. Both are null at first.
struct held_configuration
{
    std::shared_ptr<configuration::configuration const> document;
    std::shared_ptr<std::string const> text;
};

/// @returns the version in force; 0 when there is none.
[[nodiscard]] std::uint64_t held_version(held_configuration const& held);

/// Replaces the configuration in force, as a whole, if `received` has a higher version.
/// @returns true if it was replaced.
[[nodiscard]] bool accept(held_configuration& held, held_configuration const& received);

/// When requests were sent to peers.
struct request_times
{
    std::unordered_map<std::string, kernel::monotonic_time> by_peer;
    kernel::monotonic_time newest;
};

/// Decides whether to ask `peer` for its configuration, and notes the time if so.
/// @param own_version version in force here.
/// @param peer_version version that the peer says it holds.
[[nodiscard]] bool should_request(request_times& times,
                                  std::string_view peer,
                                  std::uint64_t own_version,
                                  std::uint64_t peer_version,
                                  kernel::monotonic_time now);

} // namespace pistachiohub::config
