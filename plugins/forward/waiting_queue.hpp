#pragma once

/// @file
/// Requests that wait for a slot: at-most-once before idempotent, then by deadline.

#include "plugins/forward/request_table.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace pistachiohub::forward
{

/// Most requests that wait in one daemon. It bounds the work of an overload; the memory of waiting
/// bodies is bounded by `most_kept_bytes`.
inline constexpr std::size_t most_queued = 4096;

/// Requests of one service, ordered by deadline; the second part of the key is the sequence.
using waiting_group = std::map<std::pair<kernel::monotonic_time, std::uint64_t>, request*>;

/// A group's key: 0 for at-most-once services and 1 for idempotent ones, then 0 for requests with
/// fewer places than others and 1 for the rest, then the service's name. Requests with fewer places
/// have groups of their own, because they would hold up the others.
using waiting_key = std::tuple<int, int, std::string>;

/// All waiting requests. A group is never empty.
struct waiting_queue
{
    std::map<waiting_key, waiting_group> groups;
    std::size_t size = 0;
};

/// Adds a request and sets its phase.
void push(waiting_queue& queue, request& subject);

/// Removes a request that waits, and sets its phase to running.
void remove(waiting_queue& queue, request& subject);

/// @returns the request to refuse when the queue is over its bound, or null: one of the last kind
/// with the latest deadline.
[[nodiscard]] request* find_excess(waiting_queue const& queue);

} // namespace pistachiohub::forward
