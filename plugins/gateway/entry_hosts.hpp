#pragma once

/// @file
/// The entry hosts of the fleet, and which of them a caller is told.

#include "kernel/clock.hpp"
#include "libraries/events/gateway_event.hpp"
#include "libraries/fleet/relay_choice.hpp"
#include "libraries/routing/routing_table.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::gateway
{

/// An entry host with the time at which its last report was seen.
struct known_host
{
    fleet::entry_host record;
    kernel::monotonic_time reported_at;
    /// Whether a report was seen to follow another. An object alone may have been left by a host
    /// that is gone.
    bool is_confirmed = false;
};

/// All entry hosts that registered themselves.
struct host_table
{
    /// The host of this daemon, which needs no report to be live.
    fleet::entry_host own;
    /// Whether this daemon can serve requests. Until then it names only other hosts to callers.
    bool is_own_ready = true;
    /// The other hosts.
    routing::text_map<known_host> hosts;
    /// Whether all registered hosts were read.
    bool has_list = false;
    /// Whether the store answers this daemon. While it does not, silence proves nothing.
    bool is_store_reachable = true;
    /// When the store answered again.
    kernel::monotonic_time reachable_since;
};

/// Silence after which a host counts as gone, while the store answers.
inline constexpr auto host_silence = std::chrono::milliseconds(3600);

/// Silence after which a host has no share of the fleet's budgets any more.
inline constexpr auto share_silence = std::chrono::seconds(10);

/// Entry hosts in one answer at most.
inline constexpr std::size_t most_listed_hosts = 64;

/// Applies what was read from the store.
void apply(host_table& table,
           events::store_update<fleet::entry_host> const& update,
           kernel::monotonic_time now);

/// Notes that the store was lost or regained. After its return each host has time for a report.
void apply_contact(host_table& table, bool is_reachable, kernel::monotonic_time now);

/// @returns whether the host is taken as running and not leaving.
[[nodiscard]] bool
is_live(host_table const& table, known_host const& host, kernel::monotonic_time now);

/// @returns names of the hosts among which budgets of the fleet are shared, in order; empty while
/// they are unknown. They include hosts that may be gone, so that the sum of the shares of those
/// that live stays within the budget, also just after all daemons have started again.
[[nodiscard]] std::vector<std::string> sharing_hosts(host_table const& table,
                                                     kernel::monotonic_time now);

/// Hosts of which one reads the store for the others, at most.
inline constexpr std::size_t hosts_of_one_reader = 16;

/// Hosts of a failure domain below which the hosts of its region form groups. Bytes within a domain
/// cost less.
inline constexpr std::size_t fewest_of_domain = 4;

/// Chooses the host from which this daemon reads the store's changes. Live hosts form groups in the
/// order of their names; the first of a group reads the store itself. Daemons that believe
/// different hosts to be live may choose differently, since a host passes on only what it read from
/// the store itself.
/// @returns an empty choice for the first of a group.
[[nodiscard]] fleet::relay_choice choose_relay(host_table const& table, kernel::monotonic_time now);

/// @returns the part of the registered hosts that are in the own region: callers are spread over
/// them. Hosts that are silent count, because after a loss of power all of them are at first.
/// @param regions number of regions, over which the callers count as even while no host is known.
[[nodiscard]] double part_of_hosts_in_region(host_table const& table, std::size_t regions);

/// Chooses entry hosts for a caller: those of its failure domain, else of its region, else all.
[[nodiscard]] std::vector<kernel::endpoint> choose_entry_hosts(host_table const& table,
                                                               std::string_view region,
                                                               std::string_view failure_domain,
                                                               kernel::monotonic_time now);

} // namespace pistachiohub::gateway
