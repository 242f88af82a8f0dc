#pragma once

/// @file
/// The connections to one backend server.

#include "kernel/clock.hpp"
#include "kernel/event_loop.hpp"
#include "plugins/backend/server_connection.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pistachiohub::backend
{

/// Connections to one backend server, used on one thread. Held by shared pointers.
class connection_pool : public std::enable_shared_from_this<connection_pool>
{
public:
    connection_pool(kernel::event_loop& loop, std::string address, std::uint16_t port);

    /// @returns an idle connection that is still open, or null. Those found closed are dropped.
    [[nodiscard]] std::shared_ptr<server_connection> take_idle();

    /// @returns a new connection, not yet connected; it counts until it is destroyed.
    [[nodiscard]] std::shared_ptr<server_connection> make_connection();

    /// Keeps a connection for the next request if it allows one, else drops it.
    void give_back(std::shared_ptr<server_connection>&& connection);

    /// Closes connections that have been idle since before `oldest`.
    void close_idle(kernel::monotonic_time oldest);

    /// @returns the number of connections, idle ones included.
    [[nodiscard]] std::size_t connections() const;

    /// What the server last said of itself.
    std::optional<bool> is_leaving;
    /// True while a probe waits for its answer.
    bool is_probing = false;

private:
    struct idle_connection
    {
        std::shared_ptr<server_connection> connection;
        kernel::monotonic_time since;
    };

    kernel::event_loop& m_loop;
    std::string m_address;
    std::uint16_t m_port;
    // Oldest first.
    std::vector<idle_connection> m_idle;
    // Shared with the connections, which may outlive the pool.
    std::shared_ptr<std::size_t> m_connections = std::make_shared<std::size_t>(0);
};

} // namespace pistachiohub::backend
