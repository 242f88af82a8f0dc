#pragma once

/// @file
/// One connection to a backend server. Beast stays inside the implementation file.

#include "kernel/endpoint.hpp"
#include "kernel/event_loop.hpp"
#include "libraries/interface/interface.hpp"
#include "plugins/gateway/request.hpp"

#include <functional>
#include <memory>
#include <string>

namespace pistachiohub::gateway
{

/// Reports the end of an exchange; called once, never from inside a call to the link.
using link_handler = std::function<void(attempt_end&&)>;

/// Makes the text of a request when it is about to be written.
using request_writer = std::function<std::string()>;

/// Looks whether anything listens at an address.
/// @param handle called once, with true if the connection was refused. A lost or late answer proves
/// nothing and counts as listening.
void check_listener(kernel::event_loop& loop,
                    kernel::endpoint const& server,
                    std::function<void(bool is_refused)> handle);

/// A connection that carries one exchange at a time.
class server_link
{
public:
    server_link(kernel::event_loop& loop,
                kernel::endpoint const& server,
                interface::message_headers const& names);
    ~server_link();
    server_link(server_link const&) = delete;
    server_link& operator=(server_link const&) = delete;

    /// Connects if needed, sends a request and reads its answer.
    void start(std::string request_id, bool is_head, request_writer write, link_handler handle);

    /// @returns whether another request may be sent: the last exchange ended as it should, and
    /// nothing has arrived since.
    [[nodiscard]] bool is_reusable() const;

    /// @returns when the last exchange ended.
    [[nodiscard]] kernel::monotonic_time idle_since() const;

    /// @returns how long the backend server keeps the connection when it is idle.
    [[nodiscard]] kernel::duration keep_alive() const;

    /// Shared with pending operations; defined in the implementation file.
    struct implementation;

private:
    std::shared_ptr<implementation> m_implementation;
};

} // namespace pistachiohub::gateway
