#pragma once

/// @file
/// Queue of requests that wait for a slot: at-most-once before idempotent ones, then by deadline.

#include "plugins/forward/request_table.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace pistachiohub::forward
{

/// Maximum number of requests that wait in one daemon. It bounds the processing time in an
/// overload; the memory of waiting bodies is bounded by `max_retained_bytes`.
inline constexpr std::size_t max_queued_requests = 4096;

/// Requests with the same key, ordered by deadline and then by sequence number.
using waiting_group = std::map<std::pair<kernel::monotonic_time, std::uint64_t>, request*>;

/// Key of a group: 0 for at-most-once services and 1 for idempotent ones, then 0 for requests with
/// restricted placement and 1 for the rest, then the name of the service. Requests with restricted
/// placement have groups of their own, because they would block the others.
using waiting_key = std::tuple<int, int, std::string>;

/// All waiting requests. Empty groups are removed.
struct waiting_queue
{
    std::map<waiting_key, waiting_group> groups;
    std::size_t size = 0;
};

/// Adds a request and sets its phase to `queued`.
void push(waiting_queue& queue, request& subject);

/// Removes a waiting request and sets its phase to `running`.
void remove(waiting_queue& queue, request& subject);

/// @returns the request to refuse if the queue exceeds its size limit, otherwise null. It is the
/// one with the latest deadline among the idempotent requests, or among the at-most-once requests
/// if there is no idempotent one.
[[nodiscard]] request* find_request_to_refuse(waiting_queue const& queue);

} // namespace pistachiohub::forward
