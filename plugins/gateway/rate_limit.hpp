#pragma once

/// @file
/// The rate of requests that a backend server takes from all daemons together, by its own word.

#include "kernel/clock.hpp"

namespace pistachiohub::gateway
{

/// A limit that a server has named in its answers.
struct rate_limit
{
    double max_requests_per_second = 0;
    /// When this daemon first heard of a limit of the server.
    kernel::monotonic_time named_at;
};

} // namespace pistachiohub::gateway
