#pragma once

/// @file
/// Lookup of the entry hosts that a caller should use.

#include "libraries/view/world_view.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace pistachiohub::lookup
{

/// Most entry hosts in one answer.
inline constexpr std::size_t most_entry_hosts = 8;

/// Finds the entry hosts for a caller. Allocates nothing and takes no lock.
/// @param client IPv4 address in host byte order; nothing means this daemon's failure domain.
/// @param service index of the service in the configuration.
/// @param spread any number; calls with different numbers begin at different entry hosts of the
/// nearest failure domain. A caller that passes a counter spreads clients of one block evenly.
/// @returns indices into the view's entry hosts, best first, at most `most_entry_hosts`; empty when
/// none is live. The span points into `world`.
[[nodiscard]] std::span<view::index const> find_entry_hosts(view::world_view const& world,
                                                            view::index service,
                                                            std::optional<std::uint32_t> client,
                                                            std::uint64_t spread = 0);

} // namespace pistachiohub::lookup
