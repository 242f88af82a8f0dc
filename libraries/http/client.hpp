#pragma once

/// @file
/// A small blocking HTTP/1.1 client for one server. Beast stays inside the implementation file.

#include "kernel/clock.hpp"
#include "kernel/error.hpp"
#include "libraries/http/message.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::http
{

/// Base of all failures of an exchange.
class http_error : public kernel::error
{
public:
    using error::error;
};

/// No byte of the request left this process: the request cannot have taken effect.
class never_sent : public http_error
{
public:
    using http_error::http_error;
};

/// The request may have reached the server and no whole answer came: it may have taken effect.
class lost_answer : public http_error
{
public:
    using http_error::http_error;
};

/// No whole answer came within the read timeout: the request may have taken effect.
class timed_out : public lost_answer
{
public:
    using lost_answer::lost_answer;
};

/// The body of the answer exceeds the limit: the request may have taken effect.
class too_large : public lost_answer
{
public:
    using lost_answer::lost_answer;
};

/// cancel() ended the exchange: the request may have taken effect.
class cancelled : public lost_answer
{
public:
    using lost_answer::lost_answer;
};

/// A request to the client's server.
struct request
{
    std::string method = "GET";
    std::string target;
    std::vector<header> headers;
    std::string body;
};

/// A whole answer.
struct response
{
    unsigned status = 0;
    std::vector<header> headers;
    std::string body;

    /// @returns the value of the header `name`, compared without case, or nothing.
    [[nodiscard]] std::optional<std::string> find_header(std::string_view name) const;
};

/// Limits of a client.
struct client_limits
{
    kernel::duration connect_timeout = std::chrono::milliseconds(1000);
    /// Time from the start of sending to the end of the answer.
    kernel::duration read_timeout = std::chrono::milliseconds(5000);
    /// Time after which a connection whose server acknowledges nothing counts as broken.
    kernel::duration silence_limit = std::chrono::seconds(3);
    /// Largest body of an answer, in bytes.
    std::size_t largest_answer = std::size_t{64} << 20;
};

/// Sends requests one after the other over a connection that is kept open between them.
///
/// send() is called by one thread at a time; cancel() may be called by any thread.
class client
{
public:
    /// @param address an IP address.
    client(std::string address, std::uint16_t port, client_limits limits = {});
    ~client();
    client(client const&) = delete;
    client& operator=(client const&) = delete;

    /// Sends a request and waits for the answer. A GET is repeated once when a connection that was
    /// kept open turns out to be closed, in the time that is left of `read_timeout`.
    /// @throws never_sent, lost_answer, timed_out, too_large or cancelled.
    [[nodiscard]] response send(request const& wanted);

    /// As above, with another read timeout for this exchange.
    [[nodiscard]] response send(request const& wanted, kernel::duration read_timeout);

    /// Closes the connection, so that the next exchange opens a new one. Not to be called during
    /// send().
    void disconnect();

    /// Ends the current exchange at once and makes all later ones fail.
    void cancel();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace pistachiohub::http
