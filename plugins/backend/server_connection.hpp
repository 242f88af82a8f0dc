#pragma once

/// @file
/// One HTTP/1.1 connection to a backend server. Beast stays inside the implementation file.

#include "kernel/clock.hpp"
#include "kernel/event_loop.hpp"
#include "plugins/backend/server_protocol.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pistachiohub::backend
{

/// Largest answer of a backend server, in bytes; a longer one is `broken`.
inline constexpr std::uint64_t largest_answer = std::uint64_t{1024} * 1024;

/// How one request on a connection ended.
enum class connection_end
{
    /// A whole answer was read.
    answered,
    /// The connection failed before any byte of the request was written.
    nothing_sent,
    /// The connection failed after that.
    broken
};

/// A connection that carries one request at a time. Its destruction closes it, and no handler is
/// called afterwards.
class server_connection
{
public:
    using connect_handler = std::function<void(bool is_connected)>;
    using answer_handler = std::function<void(connection_end, server_answer&&)>;

    server_connection(kernel::event_loop& loop, std::string const& address, std::uint16_t port);
    ~server_connection();
    server_connection(server_connection const&) = delete;
    server_connection& operator=(server_connection const&) = delete;

    /// Connects; call once.
    void connect(kernel::duration timeout, connect_handler handle);

    /// Writes a request and reads its answer.
    void exchange(server_request&& request, kernel::monotonic_time deadline, answer_handler handle);

    /// @returns true once a byte of the present request may have been written.
    [[nodiscard]] bool has_sent() const;

    /// @returns true if another request may follow: the last answer was read whole, allows it, and
    /// neither input nor the end of the connection waits.
    [[nodiscard]] bool is_reusable() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace pistachiohub::backend
