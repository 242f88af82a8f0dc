#pragma once

/// @file
/// The customers of a deployment, who identify themselves by keys in their requests.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pistachiohub::routing
{

/// One customer in one version of the configuration.
struct customer
{
    std::string name;
    /// Each of them identifies the customer. Never logged.
    std::vector<std::string> keys;
    /// 0 is the highest. Requests are ordered by it before they are ordered by their routes'
    /// priority.
    std::uint32_t priority = 0;
    /// Requests a second over all hosts; missing if there is no limit.
    std::optional<double> requests_per_second;
    /// Requests over all hosts that may exceed the rate at once.
    double burst = 0;
    /// Regions that may serve the customer; empty permits all. The route's regions bind too.
    std::vector<std::string> home_regions;
    /// Whether all fields that bind could be read; requests of an unreadable customer are refused.
    bool is_readable = true;
    /// Whether `keys` holds all keys; otherwise those that could be read. False only for an
    /// unreadable customer.
    bool has_all_keys = true;
};

} // namespace pistachiohub::routing
