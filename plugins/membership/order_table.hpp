#pragma once

/// @file
/// The order in which callers are told of entry hosts, for each service and failure domain.

#include "libraries/view/world_view.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace pistachiohub::membership
{

/// Entries of one order; at most this many hosts are told to a caller.
inline constexpr std::size_t entries_in_order = 8;

/// Values of the fields of the same names in `view::world_view`.
struct order_tables
{
    std::vector<std::vector<view::index>> entry_host_order;
    std::vector<std::uint32_t> entry_host_order_starts;
};

/// Orders the live hosts: those of the failure domain by rendezvous hash, then those of sibling
/// domains, then those of other regions in the policy's order. Hosts whose caller port or
/// incarnation is not known yet are left out.
[[nodiscard]] order_tables make_order_tables(configuration::configuration const& document,
                                             std::span<view::entry_host const> entry_hosts);

/// @returns the indices of `entry_hosts` sorted by name.
[[nodiscard]] std::vector<view::index> sort_by_name(std::span<view::entry_host const> entry_hosts);

} // namespace pistachiohub::membership
