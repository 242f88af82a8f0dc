#pragma once

/// @file
/// Blocking TCP sockets on 127.0.0.1, with which tests send and receive bytes that no HTTP library
/// would produce.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiohub::support
{

/// One connection; a wait of more than 5 s counts as the end of the input.
class raw_connection
{
public:
    /// Takes over a connected socket.
    explicit raw_connection(int descriptor);
    raw_connection(raw_connection&& other) noexcept;
    raw_connection& operator=(raw_connection&&) = delete;
    ~raw_connection();

    /// Sends all bytes; a closed connection is ignored.
    void send(std::string_view bytes) const;

    /// Sends each byte by itself, with a pause in which the other side can read it.
    void send_in_pieces(std::string_view bytes) const;

    /// Sends repetitions of `bytes` until the other side closes the connection or `limit_ms` pass.
    /// @returns the number of bytes that were sent, if the other side closed it.
    [[nodiscard]] std::optional<std::size_t> send_until_closed(std::string_view bytes,
                                                               int limit_ms) const;

    /// How the input ended, and all of it.
    struct remaining_input
    {
        std::string bytes;
        bool is_reset = false;
    };

    /// Reads until the other side closes or resets the connection, or sends nothing for 5 s.
    [[nodiscard]] remaining_input receive_rest();

    /// @returns the head and the body of the next HTTP message, or an empty string at the end.
    [[nodiscard]] std::string receive_message();

    /// @returns true when the other side has closed the connection, after waiting for it.
    [[nodiscard]] bool is_closed_by_peer();

    void close();

    /// Ends the own output; the input can still be received.
    void end_output() const;

    /// Closes the connection with a reset.
    void reset();

private:
    [[nodiscard]] bool receive_more();

    int m_descriptor;
    std::string m_input;
    bool m_is_reset = false;
};

/// Connects to a port.
[[nodiscard]] raw_connection connect_to(std::uint16_t port);

/// A listening socket on a port chosen by the system.
class raw_listener
{
public:
    raw_listener();
    raw_listener(raw_listener const&) = delete;
    raw_listener& operator=(raw_listener const&) = delete;
    ~raw_listener();

    [[nodiscard]] std::uint16_t port() const;

    /// @returns the next connection.
    [[nodiscard]] raw_connection accept() const;

    /// @returns true when a connection waits within `wait_ms`.
    [[nodiscard]] bool has_connection(int wait_ms) const;

private:
    int m_descriptor;
};

} // namespace pistachiohub::support
