#pragma once

/// @file
/// One request to a backend server, from the choice of a connection to its end.

#include "kernel/clock.hpp"
#include "kernel/event_loop.hpp"
#include "plugins/backend/connection_pool.hpp"
#include "plugins/backend/server_protocol.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace pistachiohub::backend
{

/// How a request to a backend server ended.
enum class exchange_end
{
    /// A whole answer was read.
    answered,
    /// Not sent: the connection limit is reached.
    limit_reached,
    /// Not sent: no connection could be made.
    unreachable,
    /// Not sent: the deadline passed first.
    expired_unsent,
    /// Sent, but no answer came by the deadline; one more end may follow.
    expired,
    /// The connection ended after the request was sent and before a whole answer.
    broken
};

/// Bounds of a request to a backend server.
struct exchange_bounds
{
    kernel::monotonic_time deadline;
    /// Time after the deadline for which a late answer is still read.
    kernel::duration late_time{};
    /// Most connections to the server, this one included.
    std::size_t connection_limit = 1;
};

/// Sends a request and reports its end on the loop's thread, never from within this call.
void start_exchange(kernel::event_loop& loop,
                    std::shared_ptr<connection_pool> const& pool,
                    server_request&& request,
                    exchange_bounds const& bounds,
                    std::function<void(exchange_end, server_answer&&)> report);

} // namespace pistachiohub::backend
