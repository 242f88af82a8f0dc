#pragma once

/// @file
/// Who is alive, who reads the store, and whom this daemon sends heartbeats to.

#include "plugins/membership/members.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::membership
{

/// Time between two rounds of heartbeats.
inline constexpr kernel::duration heartbeat_interval = std::chrono::milliseconds(500);
/// Shortest time after which a host that is not heard counts as silent.
inline constexpr kernel::duration shortest_silence = std::chrono::seconds(3);
/// Turns that a host may miss before it counts as silent.
inline constexpr int silent_turns = 3;
/// Hosts of the own failure domain in one round.
inline constexpr std::size_t most_own_targets = 8;
/// Readers of other failure domains in one round.
inline constexpr std::size_t most_foreign_targets = 4;
/// Largest number of hosts of other domains that every daemon sends to directly.
inline constexpr std::size_t most_direct_foreign_hosts = 16;
/// Readers of each failure domain.
inline constexpr std::size_t readers_for_each_domain = 2;
/// Forwarded summaries in one heartbeat of a reader: half are the freshest hosts of failure domains
/// in turn, half are single hosts in turn.
inline constexpr std::size_t most_summaries = 8;

/// How long hosts may be silent; depends on the size of the fleet.
struct silence_limits
{
    kernel::duration own_domain = shortest_silence;
    kernel::duration foreign_host = shortest_silence;
    /// For the freshest host of another failure domain.
    kernel::duration foreign_domain = shortest_silence;
    /// True while every daemon sends to every host of other domains.
    bool is_direct = true;
};

/// Positions at which the next round continues.
struct turn_cursors
{
    std::size_t own = 0;
    std::size_t foreign = 0;
};

/// @returns the limits for the known hosts.
[[nodiscard]] silence_limits find_limits(member_table const& table,
                                         std::string_view own_failure_domain);

/// Sets the state of every member.
/// @returns positions of the members whose state changed.
[[nodiscard]] std::vector<std::size_t> update_states(member_table& table,
                                                     std::string_view own_failure_domain,
                                                     silence_limits const& limits,
                                                     kernel::monotonic_time now);

/// @returns the `readers_for_each_domain` of `hosts` with the highest rendezvous weights.
[[nodiscard]] std::vector<std::string_view> choose_readers(std::string_view failure_domain,
                                                           std::vector<std::string_view> hosts);

/// What decides this daemon's reader role.
struct role_facts
{
    std::string_view own_name;
    std::string_view own_failure_domain;
    bool is_draining = false;
    /// Start of this daemon or end of its last pause.
    kernel::monotonic_time active_since;
    /// Part (0 to 1) of the jitter of up to 1 s, different for each daemon.
    double jitter = 0;
};

/// @returns true if this daemon is to watch the store: it is one of its domain's readers, or it
/// has heard none of them for the silence limit and its jitter.
[[nodiscard]] bool is_reader(member_table const& table,
                             role_facts const& facts,
                             silence_limits const& limits,
                             kernel::monotonic_time now);

/// @returns names of the hosts that the next round of heartbeats goes to. Silent hosts are
/// included, so that a healed cut is noticed.
[[nodiscard]] std::vector<std::string> next_targets(member_table const& table,
                                                    std::string_view own_failure_domain,
                                                    bool is_own_reader,
                                                    turn_cursors& cursors);

} // namespace pistachiohub::membership
