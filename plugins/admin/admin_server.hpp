#pragma once

/// @file
/// HTTP server of the admin duty. Beast stays inside the implementation file.

#include "kernel/error.hpp"
#include "kernel/event_loop.hpp"
#include "kernel/metrics.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pistachiohub::admin
{

/// The admin port cannot be opened.
class listen_error : public kernel::error
{
public:
    using error::error;
};

/// A whole request of an operator.
struct admin_request
{
    std::string method;
    /// Path without query.
    std::string path;
    std::string query;
    /// Value of the `Authorization` header, or empty.
    std::string authorization;
    std::string body;
};

/// An answer to an operator.
struct admin_reply
{
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";
};

/// Sends the answer to one request; callable once, on the loop's thread.
using reply_function = std::function<void(admin_reply)>;

/// Handles a request on the loop's thread; may answer later.
using request_handler = std::function<void(admin_request const&, reply_function const&)>;

/// Accepts connections and reads requests of bounded size.
class admin_server
{
public:
    /// @throws listen_error when the address is not available.
    admin_server(kernel::event_loop& loop,
                 kernel::metrics& counters,
                 std::string const& address,
                 std::uint16_t port,
                 request_handler handle);
    ~admin_server();
    admin_server(admin_server const&) = delete;
    admin_server& operator=(admin_server const&) = delete;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace pistachiohub::admin
