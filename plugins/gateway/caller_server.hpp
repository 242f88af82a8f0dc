#pragma once

/// @file
/// HTTP/1.1 server for callers. Only the implementation file includes Beast.

#include "kernel/endpoint.hpp"
#include "kernel/event_loop.hpp"
#include "kernel/metrics.hpp"
#include "libraries/interface/interface.hpp"
#include "libraries/routing/route.hpp"
#include "plugins/gateway/answer_memory.hpp"
#include "plugins/gateway/request.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace pistachiohub::gateway
{

/// Callbacks of the caller server.
struct caller_server_events
{
    /// A complete request was read. The owner answers it with caller_server::reply(), at once or
    /// later.
    std::function<void(request_pointer const&)> request_received;
    /// The caller has taken most of what stream() added to the answer; more may follow.
    std::function<void(request_pointer const&)> stream_drained;
    /// The connection of the caller closed before the request was answered.
    /// @param cause which side closed it and why, for logs and metric labels.
    std::function<void(request_pointer const&, std::string_view cause)> caller_disconnected;
};

/// Limits on the resources that all callers together may use.
struct caller_server_limits
{
    /// Maximum number of open connections; further ones are closed when they are accepted.
    std::size_t connections = 1024;
    /// Maximum number of bytes in requests that are being read or await their answers, over all
    /// connections. A request that exceeds it is refused.
    std::size_t held_bytes = std::size_t{64} << 20;
};

/// Accepts connections of callers, reads their requests and writes the answers, on each connection
/// in the order of the requests. All functions must be called on the loop's thread.
class caller_server
{
public:
    /// Listens on `own` and accepts connections once the loop runs.
    /// @param memory accounts for the answers that callers have not taken yet.
    /// @throws http::listen_error when the address cannot be listened on.
    caller_server(kernel::event_loop& loop,
                  kernel::metrics& counters,
                  kernel::endpoint const& own,
                  interface::message_headers const& names,
                  caller_server_limits const& limits,
                  answer_memory& memory,
                  caller_server_events events);
    ~caller_server();
    caller_server(caller_server const&) = delete;
    caller_server& operator=(caller_server const&) = delete;

    /// Sets the limits of a new configuration. The size limits apply to requests whose reading
    /// starts afterwards, the time limits to open connections too.
    void set_limits(routing::caller_limits const& limits);

    /// Answers a request; ignored if its caller has disconnected.
    void reply(request_pointer const& request, answer&& response);

    /// Begins an answer whose body follows in parts; ignored if the caller has disconnected.
    /// @param length size of the body, if it is known.
    void begin_stream(request_pointer const& request,
                      answer&& head,
                      std::optional<std::uint64_t> length);

    /// Adds a part to the body of an answer.
    /// @returns whether more may be added at once; otherwise `stream_drained` follows.
    bool stream(request_pointer const& request, std::string&& part);

    /// Ends an answer that was sent in parts and is whole.
    void end_stream(request_pointer const& request);

    /// Ends an answer in parts that broke off. A caller that has a part of it sees the connection
    /// close; otherwise it gets `replacement`.
    void break_stream(request_pointer const& request, answer&& replacement);

    /// @returns whether requests behind this one on its connection have been passed on, which would
    /// lose their answers if this answer broke off in the middle.
    [[nodiscard]] bool has_requests_behind(request_pointer const& request) const;

    /// From now on closes each connection after its next answer. Idle connections stay open because
    /// a request may be in flight on them, and new connections are still accepted.
    void drain();

    /// Accepts the connections that callers have already established, and closes the listening
    /// socket.
    void stop_accepting();

    /// Closes the connections that have carried nothing for a while, without reading a request that
    /// crosses the close.
    void close_unused();

    /// @returns the number of open connections.
    [[nodiscard]] std::size_t open_connections() const;

    /// @returns the number of bytes in requests that are being read or await their answers.
    [[nodiscard]] std::size_t held_bytes() const;

    /// Shared with the connections; defined in the implementation file.
    struct implementation;

private:
    std::shared_ptr<implementation> m_implementation;
};

} // namespace pistachiohub::gateway
