#include "plugins/memory/host_shares.hpp"

#include <algorithm>

namespace pistachiohub::memory
{

namespace
{

// File descriptors reserved for the store, the daemon's own HTTP servers, logs and files.
constexpr double reserved_descriptors = 256;
// Share of the other descriptors for connections of callers; the rest is for backend servers.
constexpr double caller_share_of_descriptors = 0.6;
// Each of the four HTTP servers of the daemon gets this share of all descriptors, up to the number
// that a relay needs for the hosts that follow it.
constexpr double service_share_of_descriptors = 0.0625;
constexpr double min_connections = 16;
constexpr double max_service_connections = 128;
// Share of the memory for requests that are being read or await their answers. It is low because
// each request is copied once to be sent, and answers need memory too.
constexpr double request_share_of_memory = 0.2;
// Share of the memory for answers that backend servers have sent and callers have not taken yet.
// When it is used up, answers are read as fast as callers take them.
constexpr double answer_share_of_memory = 0.25;
// Share of the memory for each of the daemon's HTTP servers.
constexpr double service_share_of_memory = 0.04;
// The longest answer of a relay, a configuration of one megabyte, fits several times.
constexpr double min_service_bytes = 4e6;

std::size_t share_of_memory(kernel::host_resources const& resources, double share)
{
    constexpr double bytes_per_mb = 1e6;
    return static_cast<std::size_t>(resources.memory_mb * bytes_per_mb * share);
}

} // namespace

std::size_t caller_connections(kernel::host_resources const& resources)
{
    auto const usable =
        (resources.descriptors - reserved_descriptors) * caller_share_of_descriptors;
    return static_cast<std::size_t>(std::max(usable, min_connections));
}

std::size_t request_memory(kernel::host_resources const& resources)
{
    return share_of_memory(resources, request_share_of_memory);
}

std::size_t answer_memory(kernel::host_resources const& resources)
{
    return share_of_memory(resources, answer_share_of_memory);
}

http::server_limits service_limits(kernel::host_resources const& resources)
{
    http::server_limits limits;
    limits.connections =
        static_cast<std::size_t>(std::clamp(resources.descriptors * service_share_of_descriptors,
                                            min_connections,
                                            max_service_connections));
    limits.held_bytes = std::max(share_of_memory(resources, service_share_of_memory),
                                 static_cast<std::size_t>(min_service_bytes));
    return limits;
}

} // namespace pistachiohub::memory
