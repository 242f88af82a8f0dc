#pragma once

/// @file
/// Lookup of the entry hosts that a caller should connect to.

#include "libraries/view/world_view.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace pistachiohub::lookup
{

/// Maximum number of entry hosts in one answer.
inline constexpr std::size_t max_entry_hosts = 8;

/// Finds the entry hosts for a caller. Allocates no memory and takes no lock.
/// @param client IPv4 address of the client in host byte order. Without one, or for an address that
/// no client block contains, this daemon's own failure domain is used.
/// @param service index of the service in the configuration.
/// @param spread any number; selects which entry host of the nearest failure domain comes first. A
/// caller that passes a counter distributes the clients of one block evenly over these hosts.
/// @returns at most `max_entry_hosts` indices into the view's entry hosts, in order of preference;
/// empty if none is live. The span points into `world`.
[[nodiscard]] std::span<view::index const> find_entry_hosts(view::world_view const& world,
                                                            view::index service,
                                                            std::optional<std::uint32_t> client,
                                                            std::uint64_t spread = 0);

} // namespace pistachiohub::lookup
