#pragma once

/// @file
/// Longest-prefix match of client addresses.

#include "libraries/configuration/configuration.hpp"
#include "libraries/view/world_view.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace pistachiohub::view
{

/// Ranges of addresses that do not overlap, sorted, each with the failure domain of the longest
/// matching prefix. A lookup is one binary search.
struct client_table
{
    /// First address of each range.
    std::vector<std::uint32_t> starts;
    /// Failure domain of each range; `no_index` where no block matches.
    std::vector<index> failure_domains;
};

/// Builds the table.
/// @throws nothing; blocks that name an unknown failure domain are refused by the configuration
/// check.
[[nodiscard]] client_table
make_client_table(std::span<configuration::client_block const> blocks,
                  std::span<configuration::failure_domain const> failure_domains);

/// @returns the position of the range that contains `client`; 0 when the table is empty.
[[nodiscard]] std::size_t find_range(client_table const& table, std::uint32_t client);

/// @returns the failure domain for `client` (host byte order), or `no_index`.
[[nodiscard]] index find_client(client_table const& table, std::uint32_t client);

} // namespace pistachiohub::view
