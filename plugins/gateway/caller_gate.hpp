#pragma once

/// @file
/// HTTP/1.1 connections of callers. Beast stays inside the implementation file.

#include "kernel/endpoint.hpp"
#include "kernel/event_loop.hpp"
#include "kernel/metrics.hpp"
#include "libraries/interface/interface.hpp"
#include "libraries/routing/route.hpp"
#include "plugins/gateway/request.hpp"

#include <functional>
#include <memory>

namespace pistachiohub::gateway
{

/// What the gate tells its owner.
struct caller_gate_events
{
    /// A whole request was read. Its answer is given by caller_gate::reply(), now or later.
    std::function<void(request_pointer const&)> begin;
    /// The caller closed its connection before its answer.
    std::function<void(request_pointer const&)> gone;
};

/// Limits that keep callers from using up the host.
struct caller_gate_limits
{
    /// Further callers are not accepted.
    std::size_t connections = 1024;
    /// Bytes of requests that are being read or wait for their answers, over all connections. A
    /// request beyond them is refused.
    std::size_t held_bytes = std::size_t{64} << 20;
};

/// Accepts callers and reads their requests; answers leave in the order of the requests. Every call
/// is made on the loop's thread.
class caller_gate
{
public:
    /// @throws http::listen_error when the address is not available.
    caller_gate(kernel::event_loop& loop,
                kernel::metrics& counters,
                kernel::endpoint const& own,
                interface::message_headers const& names,
                caller_gate_limits const& limits,
                caller_gate_events events);
    ~caller_gate();
    caller_gate(caller_gate const&) = delete;
    caller_gate& operator=(caller_gate const&) = delete;

    /// Takes the limits of a new configuration; they hold for requests that begin later.
    void set_limits(routing::caller_limits const& limits);

    /// Gives a request its answer.
    void reply(request_pointer const& request, answer&& made);

    /// Closes each connection with its next answer. Idle ones stay open, because a request may be
    /// on its way; new callers are accepted too.
    void drain();

    /// Accepts no further callers and closes idle connections.
    void stop_accepting();

    /// @returns connections with requests or answers on their way.
    [[nodiscard]] std::size_t busy_connections() const;

    /// @returns bytes of requests that are being read or wait for their answers.
    [[nodiscard]] std::size_t held_bytes() const;

    /// Shared with the connections; defined in the implementation file.
    struct implementation;

private:
    std::shared_ptr<implementation> m_implementation;
};

} // namespace pistachiohub::gateway
