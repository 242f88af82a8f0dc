#pragma once

/// @file
/// Connections to backend servers, kept for the next request.

#include "kernel/event_loop.hpp"
#include "kernel/metrics.hpp"
#include "libraries/interface/interface.hpp"
#include "plugins/gateway/request.hpp"
#include "plugins/gateway/server_link.hpp"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace pistachiohub::gateway
{

/// Idle time after which a connection is not used for a request that must not be sent twice: the
/// server may close it at the same moment, and the reset would not prove that the request did not
/// run.
inline constexpr auto fresh_connection_time = std::chrono::milliseconds(1000);

/// All connections to backend servers. Every call is made on the loop's thread.
class server_pool
{
public:
    /// Reports the end of a send; never called from inside send().
    using end_handler = std::function<void(request_pointer const&, attempt_end&&)>;

    server_pool(kernel::event_loop& loop,
                kernel::metrics& counters,
                interface::message_headers const& names,
                end_handler handle);
    server_pool(server_pool const&) = delete;
    server_pool& operator=(server_pool const&) = delete;

    /// Sends a request to its server.
    void send(request_pointer const& request);

    /// Closes the connection of a request, which ends its run at most backend servers.
    void cancel(request_pointer const& request);

    /// Closes connections that their servers are about to close.
    void sweep(kernel::monotonic_time now);

private:
    using link_pointer = std::unique_ptr<server_link>;

    [[nodiscard]] link_pointer take_idle(gateway_request const& request,
                                         kernel::monotonic_time now);
    void finish(request_pointer const& request, attempt_end&& end);

    kernel::event_loop& m_loop;
    kernel::metrics& m_counters;
    interface::message_headers m_names;
    end_handler m_handle;
    /// Connections in use, by the number of the request.
    std::unordered_map<std::uint64_t, link_pointer> m_running;
    /// Idle connections by incarnation of the server, the one used last at the end.
    std::unordered_map<server_pointer, std::vector<link_pointer>> m_idle;
};

} // namespace pistachiohub::gateway
