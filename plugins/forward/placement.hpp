#pragma once

/// @file
/// Starts attempts: takes requests out of the waiting queue when there is a place for them.

#include "plugins/forward/request_table.hpp"

namespace pistachiohub::forward
{

struct step;

/// Requests with fewer places than others that are passed over in one search of their group. Each
/// may be waiting for a different place, so that the search goes on behind them.
inline constexpr std::size_t most_passed_over = 16;

/// A request that waited is refused when less time remains than this many average run times. Run
/// times vary; with one average, half of the runs would end too late.
inline constexpr int least_run_times_left = 2;

/// Puts a request into the waiting queue. When that is full, the last in order is refused.
void enqueue(step& current, request& subject);

/// Starts every waiting request for which there is a place.
void start_waiting(step& current);

} // namespace pistachiohub::forward
