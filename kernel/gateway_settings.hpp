#pragma once

/// @file
/// Settings of a daemon that forwards whole HTTP requests (the gateway).

#include "kernel/endpoint.hpp"

#include <chrono>
#include <map>
#include <string>

namespace pistachiohub::kernel
{

/// Bounds that the operator sets for the whole fleet.
struct gateway_bounds
{
    /// Longest time that callers may keep a directory answer.
    std::chrono::milliseconds directory_ttl{5000};
    /// Time after which a leaving backend server must get no further request.
    std::chrono::milliseconds server_drain{2500};
    /// Time after which a configuration must be in force.
    std::chrono::milliseconds configuration_apply{2500};
    /// Time after which backend servers of an evacuated failure domain must get no further request.
    std::chrono::milliseconds evacuation{5000};
    /// Time from SIGTERM to the kill of the process.
    std::chrono::milliseconds shutdown_grace{6000};
    /// Time after which a silent host counts as gone.
    std::chrono::milliseconds host_silence{3000};
    /// Further sends permitted for each request, over all daemons.
    double retry_ratio = 0.2;
    /// Further sends permitted in each window beside the ratio, over all daemons.
    double extra_retries = 0;
    /// Length of the window of the retry budget.
    std::chrono::milliseconds retry_window{10000};
    /// Factor on the rate that a cold backend server tolerates.
    double cold_factor = 1;
    /// Requests a second beside that rate.
    double cold_slack = 0;
    /// Largest fraction of a region's requests that may change their region within two seconds.
    double shift = 0.15;
    /// Whether a key that was removed must not be in use longer than `revocation`, on any host.
    bool has_strict_revocation = false;
    std::chrono::milliseconds revocation{5000};
    /// Window over which the quota of a customer is measured.
    std::chrono::milliseconds quota_window{5000};
    /// Fraction by which the requests of a window may exceed the quota.
    double quota_excess = 0.1;
    /// Requests by which those of a window may exceed the quota in addition.
    double quota_slack = 20;
};

/// What the daemon may use of its host; weighs it against other entry hosts.
struct host_resources
{
    /// Share of a core.
    double processor = 1;
    double memory_mb = 256;
    double descriptors = 1024;
    double link_mbps = 1000;
};

/// @returns the weight of a host among the others: its share of a core, or less if its link is too
/// narrow for the requests of that share.
[[nodiscard]] double serving_capacity(host_resources const& resources);

/// How the backend server of an object is chosen among those that rank first for it.
enum class placement_rule
{
    /// The next server is used whenever the first one has no room.
    by_load,
    /// The first server may have a longer queue before the next one is used, and the shares of the
    /// servers follow their load slowly.
    stable
};

/// Which waiting request gets a free slot, which are refused, and when their callers return.
enum class admission_rule
{
    /// By the route's priority and arrival; refused on arrival or at the target latency.
    by_priority,
    /// Also fair between customers; refused as soon as a request would start too late.
    fair
};

/// Which of the live hosts of a failure domain callers are told to use.
enum class directory_rule
{
    /// All of them.
    all,
    /// Those whose processor and link are not small beside the others.
    by_capacity,
    /// The same while the configuration has routes for uploads, and else all: large bodies pass the
    /// link of a host twice.
    by_capacity_for_uploads
};

/// Settings of the gateway.
struct gateway_settings
{
    /// Name of the registered interface that decodes what the deployment speaks.
    std::string interface_name;
    std::string region;
    /// Region of each failure domain.
    std::map<std::string, std::string, std::less<>> region_of_domain;
    endpoint callers;
    endpoint readiness;
    endpoint directory;
    endpoint metrics;
    /// Where other daemons read what this one knows of the store; port 0 if nowhere.
    endpoint relay;
    /// Interval at which backend servers report to the store.
    std::chrono::milliseconds server_heartbeat{1500};
    /// Interval at which the settlement is written to the store. A killed daemon loses the counts
    /// since its last write.
    std::chrono::milliseconds settlement_interval{10000};
    gateway_bounds bounds;
    host_resources resources;
    placement_rule placement = placement_rule::by_load;
    admission_rule admission = admission_rule::by_priority;
    directory_rule named_hosts = directory_rule::all;
};

} // namespace pistachiohub::kernel
