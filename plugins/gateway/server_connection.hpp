#pragma once

/// @file
/// An HTTP/1.1 client connection to a backend server. Only the implementation file includes Beast.

#include "kernel/endpoint.hpp"
#include "kernel/event_loop.hpp"
#include "libraries/interface/interface.hpp"
#include "plugins/gateway/answer_memory.hpp"
#include "plugins/gateway/request.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pistachiohub::gateway
{

/// Callbacks of one exchange; none is called from within a call to the connection.
struct exchange_handlers
{
    /// The head of the answer was read, with what it says of the backend server.
    std::function<void(interface::server_notice const&)> notice_received;
    /// @returns whether the caller's connection would lose further answers if this one broke off
    /// after a part of it was delivered.
    std::function<bool()> has_requests_behind;
    /// A large answer has begun, whose body follows in parts. Not called for small answers, which
    /// `ended` delivers whole.
    /// @param length size of the body, if the backend server announced it.
    std::function<void(answer&& head, std::optional<std::uint64_t> length)> stream_begun;
    /// @returns whether to read on at once; otherwise resume() must follow.
    std::function<bool(std::string&& part)> part_received;
    /// Called once, with the result of the exchange.
    std::function<void(attempt_end&&)> ended;
};

/// Serializes a request immediately before it is written, when its remaining time is known.
using request_serializer = std::function<std::string()>;

/// Checks by a connection attempt whether a process listens on an address.
/// @param handle called once, with true if the connection was refused. A timeout or any other
/// failure proves nothing and yields false.
void probe_listener(kernel::event_loop& loop,
                    kernel::endpoint const& server,
                    std::function<void(bool is_refused)> handle);

/// A connection that carries one request and its answer at a time.
class server_connection
{
public:
    /// @param memory accounts for the answers that are being read.
    server_connection(kernel::event_loop& loop,
                      kernel::endpoint const& server,
                      interface::message_headers const& names,
                      answer_memory& memory);
    ~server_connection();
    server_connection(server_connection const&) = delete;
    server_connection& operator=(server_connection const&) = delete;

    /// Connects if needed, sends a request and reads its answer.
    /// @param request_id id that the answer must repeat.
    /// @param is_head whether the request is a HEAD, whose answer has no body.
    void start(std::string request_id,
               bool is_head,
               request_serializer serialize,
               exchange_handlers handlers);

    /// Tells a server that takes no data for a while from one that is lost. To be called several
    /// times a second during an exchange.
    void check_silence();

    /// Reads on after `part_received` returned false.
    void resume();

    /// @returns whether another request may be sent: the last exchange ended without an error, and
    /// neither data nor a close has been received since.
    [[nodiscard]] bool is_reusable() const;

    /// @returns when the last exchange ended.
    [[nodiscard]] kernel::monotonic_time idle_since() const;

    /// @returns the time for which the backend server keeps an idle connection open.
    [[nodiscard]] kernel::duration keep_alive() const;

    /// Shared with pending operations; defined in the implementation file.
    struct implementation;

private:
    std::shared_ptr<implementation> m_implementation;
};

} // namespace pistachiohub::gateway
