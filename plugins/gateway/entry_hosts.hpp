#pragma once

/// @file
/// The entry hosts of the fleet, and the selection of those that a caller is given.

#include "kernel/clock.hpp"
#include "libraries/events/gateway_event.hpp"
#include "libraries/fleet/relay_choice.hpp"
#include "libraries/routing/routing_table.hpp"

#include <span>
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
    /// Whether a new report of the host, or of the reader that lists it as a follower, was seen to
    /// arrive. An object in the store alone may have been left by a host that is gone.
    bool is_confirmed = false;
    /// Whether the host was missing in the list of a store that was restored from an older copy,
    /// and has not registered again since.
    bool is_missing = false;
};

/// All entry hosts that registered themselves.
struct host_table
{
    /// The host of this daemon; it counts as live without a report.
    fleet::entry_host own;
    /// Whether this daemon can serve requests. Until then it gives callers only other hosts.
    bool is_own_ready = true;
    /// The other hosts.
    routing::text_map<known_host> hosts;
    /// Whether a complete list of the registered hosts has been read.
    bool is_loaded = false;
    /// When that list was read. Meaningless before.
    kernel::monotonic_time loaded_at;
    /// Whether the store is reachable. While it is not, no reports can be read, and no host is
    /// taken as gone for a missing report.
    bool is_store_reachable = true;
    /// When the store became reachable again.
    kernel::monotonic_time reachable_since;
};

/// Time without a report after which a host counts as gone, while the store is reachable.
inline constexpr auto host_timeout = std::chrono::milliseconds(3600);

/// Time without a report after which a host no longer gets a share of the fleet's budgets.
inline constexpr auto share_timeout = std::chrono::seconds(10);

/// Maximum number of entry hosts in one answer to a caller.
inline constexpr std::size_t max_listed_hosts = 64;

/// Applies changes to the entry hosts that were read from the store.
void apply(host_table& table,
           events::store_update<fleet::entry_host> const& update,
           kernel::monotonic_time now);

/// Records that the store became reachable or unreachable. When it becomes reachable again, each
/// host has the full timeout to write a report.
void apply_store_state(host_table& table, bool is_reachable, kernel::monotonic_time now);

/// @returns whether the host is considered running and is not leaving.
[[nodiscard]] bool
is_live(host_table const& table, known_host const& host, kernel::monotonic_time now);

/// @returns the sorted names of the hosts among which the fleet's budgets are divided; empty while
/// the list of hosts has not been read. Hosts that may be gone are included, so that the shares of
/// the live hosts never add up to more than the budget, even just after all daemons restarted.
[[nodiscard]] std::vector<std::string> budget_sharing_hosts(host_table const& table,
                                                            kernel::monotonic_time now);

/// @param names names of hosts.
/// @returns those of the names whose hosts are in the region, in the same order.
[[nodiscard]] std::vector<std::string> select_hosts_in_region(host_table const& table,
                                                              std::span<std::string const> names,
                                                              std::string_view region);

/// Maximum size of a group of hosts in which one host reads the store for the others.
inline constexpr std::size_t max_hosts_per_reader = 16;

/// Number of hosts in a failure domain below which groups are formed from the hosts of its region.
inline constexpr std::size_t min_domain_group_size = 4;

/// Number of hosts up to which a region has one reader instead of one for each failure domain: a
/// call of the store costs as much as 270 KB between failure domains, and a follower gets a few KB
/// a second where the fleet is that small.
inline constexpr std::size_t max_region_group_size = 24;

/// Capacity of a host that reads for a region: as much for each follower as the smallest host, of a
/// tenth of a core, has with `max_hosts_per_reader`.
inline constexpr double min_region_reader_capacity = 0.15;

/// Chooses the host that relays the store's changes to this daemon. Live hosts are sorted by
/// failure domain and name. Listed hosts count as live for `host_timeout` after the first list,
/// before their reports can have been seen: asking one that is gone costs a call of the store, and
/// so does waiting. They are divided into groups of a region
/// that is small and has a host of enough capacity, or else of a failure domain; the first host of
/// those with the greatest capacity in a group, its reader, reads the store itself, since it sends
/// each change to all others. Daemons may disagree on which hosts are live and choose differently.
/// This is safe, since a host relays only changes that it read from the store itself.
/// @returns an empty choice if this daemon is the reader of its group.
[[nodiscard]] fleet::relay_choice choose_relay(host_table const& table, kernel::monotonic_time now);

/// @returns the readers of all groups except this daemon, by the same grouping as choose_relay().
/// Daemons may disagree on them for a time.
[[nodiscard]] std::vector<fleet::relay_choice> other_readers(host_table const& table,
                                                             kernel::monotonic_time now);

/// @returns the fraction of the registered hosts that are in this daemon's region, which estimates
/// the fraction of the callers there. Hosts without recent reports count too, because after a loss
/// of power no host has reported yet.
/// @param regions number of regions; callers are assumed to be distributed evenly over them until
/// the list of hosts has been read.
[[nodiscard]] double fraction_of_hosts_in_region(host_table const& table, std::size_t regions);

/// Chooses the live entry hosts that a caller is given: those of its failure domain, or if there
/// are none, those of its region, or else all.
/// @param is_by_capacity whether hosts that are small beside the others are left out.
/// @returns the addresses of at most `max_listed_hosts` hosts.
[[nodiscard]] std::vector<kernel::endpoint> choose_entry_hosts(host_table const& table,
                                                               std::string_view region,
                                                               std::string_view failure_domain,
                                                               bool is_by_capacity,
                                                               kernel::monotonic_time now);

} // namespace pistachiohub::gateway
