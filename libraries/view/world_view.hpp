#pragma once

/// @file
/// What a daemon knows at one moment, as an immutable value that all threads may read.

#include "kernel/clock.hpp"
#include "libraries/configuration/configuration.hpp"

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace pistachiohub::view
{

/// Index into one of the vectors of the configuration or the view.
using index = std::uint32_t;

/// Marks the absence of an index.
inline constexpr index no_index = std::numeric_limits<index>::max();

/// What is believed about a host.
enum class member_state
{
    live,
    leaving,
    /// Not heard from within the liveness timeout.
    silent
};

/// Another daemon's offer to take foreign requests of one service.
struct credit
{
    index service = no_index;
    std::uint32_t slots = 0;
    /// The credit is void after this time on this daemon's monotonic clock.
    kernel::monotonic_time expires_at;
};

/// An entry host of any failure domain.
struct entry_host
{
    std::string name;
    std::string address;
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    index failure_domain = no_index;
    member_state state = member_state::silent;
    /// 0 until the first heartbeat.
    std::uint64_t incarnation = 0;
    /// Epoch in the newest heartbeat.
    std::uint32_t epoch = 0;
    /// Configuration version in the newest heartbeat.
    std::uint64_t configuration_version = 0;
    std::vector<credit> credits;
};

/// A backend server of this daemon's failure domain.
struct backend_server
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    index service = no_index;
    member_state state = member_state::live;
    /// Load last reported: requests in flight divided by slots; negative before the first report.
    double reported_load = -1;
    kernel::monotonic_time reported_at;
    /// When the server appeared or returned; its share grows from then on.
    kernel::monotonic_time live_since;
    /// Slots of this server that this daemon may use.
    std::uint32_t slot_share = 0;
};

/// Everything that decisions about lookups and requests read.
struct world_view
{
    std::shared_ptr<configuration::configuration const> configuration;
    /// Name of this daemon's entry host.
    std::string own_name;
    std::uint64_t own_incarnation = 0;
    std::uint32_t own_epoch = 0;
    index own_failure_domain = no_index;
    /// True while this daemon shuts down gracefully.
    bool is_draining = false;
    std::vector<entry_host> entry_hosts;
    std::vector<backend_server> backend_servers;
    /// For each service times failure domain, at `service * failure_domains.size() + domain`:
    /// indices of live entry hosts in the order in which callers are told of them. A list may hold
    /// several orders; `entry_host_order_starts` says how many.
    std::vector<std::vector<index>> entry_host_order;
    /// At the same index: number of orders in the list, so that client blocks of one failure domain
    /// begin at different entry hosts. A list of n >= 8 orders is a ring of n hosts followed by its
    /// first 7; with fewer, each order has 8 entries, padded with `no_index`. Empty: one order
    /// each.
    std::vector<std::uint32_t> entry_host_order_starts;
    /// Indices of the entry hosts, sorted by name; empty when the view was not made by the builder.
    std::vector<index> entry_hosts_by_name;
    /// Client blocks for longest-prefix match, sorted by `libraries/view/client_table`.
    std::shared_ptr<struct client_table const> client_blocks;
};

/// @returns the index of the service called `name`, or `no_index`.
[[nodiscard]] index find_service(world_view const& world, std::string_view name);

/// @returns the index of the failure domain called `name`, or `no_index`.
[[nodiscard]] index find_failure_domain(world_view const& world, std::string_view name);

/// @returns the index of the entry host called `name`, or `no_index`.
[[nodiscard]] index find_entry_host(world_view const& world, std::string_view name);

} // namespace pistachiohub::view
