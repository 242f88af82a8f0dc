#pragma once

/// @file
/// Pool of persistent connections to backend servers.

#include "kernel/event_loop.hpp"
#include "kernel/metrics.hpp"
#include "libraries/interface/interface.hpp"
#include "plugins/gateway/request.hpp"
#include "plugins/gateway/server_connection.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pistachiohub::gateway
{

/// Longest idle time of a connection that may carry an at-most-once request. The server may close
/// an idle connection just as the request is sent, and the reset does not prove that the request
/// did not run.
inline constexpr auto max_idle_time_at_most_once = std::chrono::milliseconds(1000);

/// Callbacks of the pool, as those of an exchange; none is called from within send().
struct server_pool_events
{
    std::function<void(request_pointer const&, interface::server_notice const&)> notice_received;
    std::function<bool(request_pointer const&)> has_requests_behind;
    std::function<void(request_pointer const&, answer&& head, std::optional<std::uint64_t> length)>
        stream_begun;
    std::function<bool(request_pointer const&, std::string&& part)> part_received;
    std::function<void(request_pointer const&, attempt_end&&)> ended;
};

/// All connections to backend servers. All functions must be called on the loop's thread.
class server_connection_pool
{
public:
    server_connection_pool(kernel::event_loop& loop,
                           kernel::metrics& counters,
                           interface::message_headers const& names,
                           answer_memory& memory,
                           server_pool_events events);
    server_connection_pool(server_connection_pool const&) = delete;
    server_connection_pool& operator=(server_connection_pool const&) = delete;

    /// Sends a request to its `server`, on an idle connection if there is a suitable one.
    void send(request_pointer const& request);

    /// Reads on the answer of a request after `part_received` returned false.
    void resume(request_pointer const& request);

    /// Closes the connection of a request. Most backend servers then stop running it.
    void cancel(request_pointer const& request);

    /// Closes idle connections that their servers would soon close, and those of removed servers,
    /// and checks those in use for lost servers.
    void sweep(kernel::monotonic_time now);

private:
    using connection_pointer = std::unique_ptr<server_connection>;

    [[nodiscard]] connection_pointer take_idle(gateway_request const& request,
                                               kernel::monotonic_time now);
    [[nodiscard]] exchange_handlers make_handlers(request_pointer const& request);
    void finish(request_pointer const& request, attempt_end&& end);

    kernel::event_loop& m_loop;
    kernel::metrics& m_counters;
    interface::message_headers m_names;
    answer_memory& m_memory;
    server_pool_events m_events;
    /// Connections in use, by the number of the request.
    std::unordered_map<std::uint64_t, connection_pointer> m_running;
    /// Idle connections by incarnation of the server, the most recently used one last.
    std::unordered_map<server_pointer, std::vector<connection_pointer>> m_idle;
};

} // namespace pistachiohub::gateway
