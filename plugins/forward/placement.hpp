#pragma once

/// @file
/// Chooses destinations for waiting requests and starts their attempts.

#include "plugins/forward/request_table.hpp"

namespace pistachiohub::forward
{

struct step;

/// Maximum number of requests with restricted placement that are skipped in one pass over their
/// group. They may each be waiting for a different server, so that a later one can still be
/// started.
inline constexpr std::size_t max_skipped_requests = 16;

/// A request that waited is refused if the time left is less than this many average run times. With
/// a factor of one, half of the runs would end too late, because run times vary.
inline constexpr int min_run_times_left = 2;

/// Adds a request to the waiting queue. If that exceeds the size limit, the request that
/// `find_request_to_refuse` returns is refused.
void enqueue(step& current, request& subject);

/// Starts the waiting requests for which a backend server or an entry host has capacity, and closes
/// those that are quarantined, too late or impossible to place.
void start_waiting_requests(step& current);

} // namespace pistachiohub::forward
