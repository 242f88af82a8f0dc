#pragma once

/// @file
/// A small HTTP server for the stand-ins. Beast stays inside the implementation file.

#include "kernel/error.hpp"
#include "kernel/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::standins
{

/// A whole request.
struct http_request
{
    std::string method;
    /// Target up to the question mark.
    std::string path;
    std::map<std::string, std::string> query;
    /// Names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    /// @param name in lower case.
    /// @returns the value of a header, or an empty text.
    [[nodiscard]] std::string header(std::string const& name) const;
};

/// An answer.
struct http_response
{
    unsigned status = 200;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    /// True closes the connection and sends nothing.
    bool is_lost = false;
};

/// Sends the answer; called once, on the loop's thread.
using http_responder = std::function<void(http_response)>;

/// Handles a request now or later.
using http_handler = std::function<void(http_request const&, http_responder)>;

/// The server cannot listen.
class listen_error : public kernel::error
{
public:
    using error::error;
};

/// Serves HTTP/1.1 on 127.0.0.1, on the thread of one event loop.
class http_server
{
public:
    /// @param port 0 lets the system choose.
    /// @param connection_limit further connections are closed as soon as they are accepted.
    /// @throws listen_error when the port is taken.
    http_server(kernel::event_loop& loop,
                std::uint16_t port,
                std::size_t connection_limit,
                http_handler handle);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// @returns the port on which the server listens.
    [[nodiscard]] std::uint16_t port() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

/// @returns the decoded parts of `path` between slashes, without empty ones.
[[nodiscard]] std::vector<std::string> split_path(std::string_view path);

} // namespace pistachiohub::standins
