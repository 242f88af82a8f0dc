#pragma once

/// @file
/// The operators' configuration: topology, services, policies and client blocks.

#include <cstdint>
#include <string>
#include <vector>

namespace pistachiohub::configuration
{

/// Whether a service may run a request more than once.
enum class service_kind
{
    idempotent,
    at_most_once
};

/// Where the intent to dispatch an at-most-once request is written first.
enum class journal_mode
{
    none,
    write_ahead
};

/// How a daemon chooses a destination. All but `capped` are baselines for measurements.
enum class steering_mode
{
    capped,
    round_robin,
    least_connections
};

/// A failure domain and the region that it belongs to.
struct failure_domain
{
    std::string name;
    std::string region;
    /// Entry hosts that share the link budgets of the region, as configured; at least 1.
    std::uint32_t entry_hosts = 1;
};

/// The capacity between two regions, in each direction.
struct link
{
    std::string from_region;
    std::string to_region;
    /// Megabits a second in each direction for all traffic.
    double megabits_per_second = 0;
};

/// What the operators allow the steering of one service to do.
struct policy
{
    /// Regions that may serve, in order of preference; empty means all.
    std::vector<std::string> regions;
    /// Largest fraction (0 to 1) of a daemon's requests in a 10 s window relayed to other regions.
    double shift_cap = 0.2;
    /// Largest increase of the relayed fraction per second (0 to 1).
    double shift_rate = 0.05;
    /// Fraction (0 to 1) of the slots that a failure domain keeps for its own traffic.
    double headroom = 0.2;
    steering_mode steering = steering_mode::capped;
};

/// A service that backend servers offer.
struct service
{
    std::string name;
    service_kind kind = service_kind::at_most_once;
    journal_mode journal = journal_mode::none;
    /// Requests that one backend server runs at the same time.
    std::uint32_t slots = 1;
    /// Connections that one backend server accepts.
    std::uint32_t connections = 1;
    /// Time to live of a lookup answer, in milliseconds.
    std::uint32_t ttl_ms = 2000;
    policy steering_policy;
};

/// A range of client addresses (IPv4) and the failure domain nearest to it.
struct client_block
{
    /// Network address in host byte order, with the bits behind the prefix zero.
    std::uint32_t network = 0;
    /// Number of leading bits that count, 0 to 32.
    std::uint8_t prefix_length = 0;
    std::string failure_domain;
};

/// One version of the whole configuration.
struct configuration
{
    /// Version of the store's object; grows with each accepted patch.
    std::uint64_t version = 0;
    /// Identifies the patch that made this version.
    std::string patch_id;
    std::vector<failure_domain> failure_domains;
    std::vector<link> links;
    std::vector<service> services;
    std::vector<client_block> client_blocks;
};

} // namespace pistachiohub::configuration
