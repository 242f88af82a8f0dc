#pragma once

/// @file
/// Which connection has to go when connections or memory run out. Load pattern: a few callers hold
/// many connections or much memory and do nothing with them, while ordinary callers need some.

#include "kernel/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace pistachiohub::http
{

/// What a connection does.
enum class connection_use : std::uint8_t
{
    /// All answers were sent; the connection only waits for its end.
    ending,
    /// No request has begun.
    idle,
    /// A head has begun and has not ended.
    receiving_head,
    /// A body has begun and has not ended.
    receiving_body,
    /// A request runs or waits to run.
    running,
    /// An answer waits for the caller.
    sending
};

/// What is known of one connection.
struct connection_state
{
    connection_use use = connection_use::idle;
    /// The last byte in either direction, or the first byte of an unfinished request.
    kernel::monotonic_time since;
    /// Memory of an unfinished request, which may stand behind others that run.
    std::size_t received_bytes = 0;
    /// The first byte of that request.
    kernel::monotonic_time received_since;
    /// Memory of answers that the caller has not taken.
    std::size_t unsent_bytes = 0;
};

/// @returns the position of the connection that is closed so that another can be accepted: one that
/// is ending, else the one that is idle for longest, else the slowest unfinished request. None that
/// runs a request or gets an answer, and none that had no time to send its request.
[[nodiscard]] std::optional<std::size_t>
choose_connection_to_close(std::vector<connection_state> const& connections,
                           kernel::monotonic_time now);

/// @returns the position of the connection whose unfinished request is refused when the memory for
/// requests is used up: among those that had time to send it, the one that holds most.
[[nodiscard]] std::optional<std::size_t>
choose_request_to_refuse(std::vector<connection_state> const& connections,
                         kernel::monotonic_time now);

/// @returns the position of the connection that is closed when the memory for answers is used up:
/// among those whose callers have taken nothing for a while, the one that holds most.
[[nodiscard]] std::optional<std::size_t>
choose_slow_reader(std::vector<connection_state> const& connections, kernel::monotonic_time now);

} // namespace pistachiohub::http
