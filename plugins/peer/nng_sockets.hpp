#pragma once

/// @file
/// Owning types for the two kinds of nng sockets between daemons. nng's headers stay inside the
/// implementation file.

#include "kernel/error.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::peer
{

/// Largest message between daemons, in bytes: a body or a configuration document of 1 MiB with its
/// envelope. A longer one is refused.
inline constexpr std::size_t largest_message = std::size_t{1024} * 1024 + 8192;
/// Largest message that the transport reads, in bytes. It closes the connection of a sender that
/// exceeds it, which cannot be counted, so it is above what is refused. It reserves memory for a
/// whole message at its first byte, so it is not far above that.
inline constexpr std::size_t largest_transported = largest_message + largest_message / 4;

/// An nng socket cannot be made or listened on.
class transport_error : public kernel::error
{
public:
    /// @param action what failed, for example `listen`.
    /// @param url where.
    /// @param code error number of nng.
    transport_error(std::string_view action, std::string const& url, int code);
};

/// Receives the messages of all peers.
class pull_socket
{
public:
    /// Listens at once.
    /// @param port 0 lets the system choose.
    /// @throws transport_error when the address cannot be listened on.
    pull_socket(std::string const& address, std::uint16_t port);
    ~pull_socket();
    pull_socket(pull_socket const&) = delete;
    pull_socket& operator=(pull_socket const&) = delete;

    /// @returns a message, or nothing when none waits; never blocks.
    [[nodiscard]] std::optional<std::vector<std::byte>> receive();

    /// @returns a descriptor that polls as readable while a message waits; owned by the socket.
    [[nodiscard]] int readable_descriptor() const;

    /// @returns the port that is listened on.
    [[nodiscard]] std::uint16_t port() const;

private:
    struct admission;

    std::uint32_t m_socket = 0;
    std::uint16_t m_port = 0;
    std::shared_ptr<admission> m_admission;
};

/// Sends messages to one peer, which it dials in the background again and again.
class push_socket
{
public:
    /// Begins to dial.
    /// @param on_change called on a thread of nng when a connection is made or lost; it must only
    /// hand the news on. It is not called after the destructor.
    /// @throws transport_error when the address is not valid.
    push_socket(std::string const& address, std::uint16_t port, std::function<void()> on_change);

    /// Drops what the send buffer still holds.
    ~push_socket();
    push_socket(push_socket const&) = delete;
    push_socket& operator=(push_socket const&) = delete;

    /// Sends a message; never blocks.
    /// @returns false when no byte was sent: there is no connection or the send buffer is full.
    [[nodiscard]] bool send(std::span<std::byte const> bytes);

    /// @returns true while a connection is open.
    [[nodiscard]] bool is_connected() const;

    /// @returns true once a connection has been lost. The send buffer may then hold messages that
    /// must not reach a later process, so the socket is to be replaced.
    [[nodiscard]] bool was_lost() const;

private:
    struct connection_state;

    std::uint32_t m_socket = 0;
    std::shared_ptr<connection_state> m_state;
};

} // namespace pistachiohub::peer
