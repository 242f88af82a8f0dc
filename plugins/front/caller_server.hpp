#pragma once

/// @file
/// HTTP/1.1 server of the caller port. Beast stays inside the implementation file.

#include "kernel/event_loop.hpp"
#include "kernel/metrics.hpp"
#include "plugins/front/answer_builder.hpp"
#include "plugins/front/request_parser.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pistachiohub::front
{

/// Largest header block with its request line, in bytes.
inline constexpr std::uint32_t largest_header_block = 8192;
/// Largest request body, in bytes.
inline constexpr std::uint64_t largest_body = 65536;

/// Limits that keep one caller from using up the server.
struct caller_server_limits
{
    /// An open connection without a request is closed after this time.
    std::chrono::milliseconds idle{30000};
    /// Time from the first byte of a request to its last.
    std::chrono::milliseconds read{10000};
    /// Time for a caller to take an answer.
    std::chrono::milliseconds write{10000};
    /// When there are more, one that does nothing is closed, or the new one is refused.
    std::size_t most_connections = 1024;
    /// Bytes of requests that are being read and of answers that are not taken yet, over all
    /// connections: as much as all connections need for the largest body.
    std::size_t held_bytes = std::size_t{64} << 20;
};

/// Serves callers on the thread of an event loop. Every call must be made on that thread.
class caller_server
{
public:
    /// Handles a whole request: returns its answer, or nothing when complete() will follow.
    using request_handler = std::function<std::optional<caller_answer>(
        std::uint64_t exchange, request_head const& head, std::string&& body)>;

    /// Listens at once; requests are handled when the loop runs.
    /// @param port 0 lets the system choose.
    /// @throws listen_error when the address cannot be listened on.
    caller_server(kernel::event_loop& loop,
                  kernel::metrics& counters,
                  std::string const& address,
                  std::uint16_t port,
                  caller_server_limits const& limits,
                  request_handler handle);
    ~caller_server();
    caller_server(caller_server const&) = delete;
    caller_server& operator=(caller_server const&) = delete;

    /// Sends the answer of an exchange.
    /// @returns false when the caller has gone away; the answer is then dropped.
    [[nodiscard]] bool complete(std::uint64_t exchange, caller_answer const& answer);

    /// @returns the port that is listened on.
    [[nodiscard]] std::uint16_t port() const;

    /// Closes the listening socket; open exchanges go on.
    void stop_accepting();

    /// @returns true when no exchange waits for its answer and no answer is being written.
    [[nodiscard]] bool is_idle() const;

    /// Shared with the open connections; defined in the implementation file.
    struct implementation;

private:
    std::shared_ptr<implementation> m_implementation;
};

} // namespace pistachiohub::front
