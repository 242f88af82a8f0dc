#pragma once

/// @file
/// What a reader forwards about other hosts in its heartbeats.

#include "plugins/membership/members.hpp"

#include <vector>

namespace pistachiohub::membership
{

/// Positions at which the next summary continues.
struct summary_cursors
{
    std::size_t domain = 0;
    std::size_t host = 0;
};

/// @returns at most `most_summaries` summaries: restarts and drains of the last seconds, the
/// freshest hosts of some failure domains, and some single hosts, each in turn.
[[nodiscard]] std::vector<messages::member_summary>
choose_summaries(member_table const& table, summary_cursors& cursors, kernel::monotonic_time now);

} // namespace pistachiohub::membership
