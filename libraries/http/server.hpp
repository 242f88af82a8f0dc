#pragma once

/// @file
/// A small HTTP server for whole requests of bounded size. Beast stays inside the implementation
/// file.

#include "kernel/endpoint.hpp"
#include "kernel/error.hpp"
#include "kernel/event_loop.hpp"
#include "kernel/metrics.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pistachiohub::http
{

/// The port cannot be opened.
class listen_error : public kernel::error
{
public:
    using error::error;
};

/// A whole request.
struct server_request
{
    std::string method;
    /// Path without query.
    std::string path;
    std::string query;
    /// Value of the `Authorization` header, or empty.
    std::string authorization;
    std::string body;
};

/// An answer.
struct server_reply
{
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";
};

/// Sends the answer to one request; callable once, on the loop's thread.
using reply_function = std::function<void(server_reply)>;

/// Handles a request on the loop's thread; may answer later.
using request_handler = std::function<void(server_request const&, reply_function const&)>;

/// Limits on what all connections of a server together may use.
struct server_limits
{
    /// Open connections. When there are more, one that does nothing is closed.
    std::size_t connections = 128;
    /// Bytes of requests that are being read and of answers that are not taken yet. Further
    /// requests are refused before they run.
    std::size_t held_bytes = std::size_t{16} << 20;
};

/// Accepts connections and reads requests of bounded size.
class server
{
public:
    /// @param refusal_counter name of the counter of refused requests, with the label `reason`.
    /// @throws listen_error when the address is not available.
    server(kernel::event_loop& loop,
           kernel::metrics& counters,
           std::string refusal_counter,
           kernel::endpoint const& own,
           request_handler handle,
           server_limits const& limits = {});
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace pistachiohub::http
