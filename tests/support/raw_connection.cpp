#include "tests/support/raw_connection.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <thread>
#include <utility>

namespace pistachiohub::support
{

namespace
{

constexpr int wait_limit_ms = 5000;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool is_readable(int descriptor, int wait_ms)
{
    pollfd polled{descriptor, POLLIN, 0};
    return poll(&polled, 1, wait_ms) > 0;
}

void require(bool is_met)
{
    if (!is_met)
        throw std::runtime_error("a socket call of the test failed");
}

std::size_t content_length(std::string_view head)
{
    constexpr std::string_view name = "Content-Length: ";
    auto const position = head.find(name);
    if (position == std::string_view::npos)
        return 0;
    return std::stoul(std::string(head.substr(position + name.size())));
}

} // namespace

raw_connection::raw_connection(int descriptor)
    : m_descriptor(descriptor)
{
}

raw_connection::raw_connection(raw_connection&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_input(std::move(other.m_input))
{
}

raw_connection::~raw_connection()
{
    close();
}

void raw_connection::send(std::string_view bytes) const
{
    while (!bytes.empty())
    {
        auto const sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

void raw_connection::send_in_pieces(std::string_view bytes) const
{
    constexpr auto pause = std::chrono::milliseconds(1);
    int const is_set = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &is_set, sizeof(is_set));
    for (std::size_t position = 0; position < bytes.size(); ++position)
    {
        send(bytes.substr(position, 1));
        std::this_thread::sleep_for(pause);
    }
}

std::optional<std::size_t> raw_connection::send_until_closed(std::string_view bytes,
                                                             int limit_ms) const
{
    std::size_t total = 0;
    auto const ends_at = std::chrono::steady_clock::now() + std::chrono::milliseconds(limit_ms);
    constexpr int poll_ms = 20;
    while (std::chrono::steady_clock::now() < ends_at)
    {
        pollfd polled{m_descriptor, POLLOUT, 0};
        if (poll(&polled, 1, poll_ms) <= 0)
            continue;
        auto const sent =
            ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno != EAGAIN)
            return total;
        total += static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
    }
    return std::nullopt;
}

raw_connection::remaining_input raw_connection::receive_rest()
{
    while (receive_more())
    {
    }
    return {std::exchange(m_input, {}), m_is_reset};
}

std::string raw_connection::receive_message()
{
    constexpr std::string_view end_of_head = "\r\n\r\n";
    auto head_end = m_input.find(end_of_head);
    while (head_end == std::string::npos)
    {
        if (!receive_more())
            return "";
        head_end = m_input.find(end_of_head);
    }
    auto const size = head_end + end_of_head.size() +
                      content_length(std::string_view(m_input).substr(0, head_end));
    while (m_input.size() < size)
    {
        if (!receive_more())
            return "";
    }
    auto message = m_input.substr(0, size);
    m_input.erase(0, size);
    return message;
}

bool raw_connection::is_closed_by_peer()
{
    std::array<char, 4096> bytes{};
    while (is_readable(m_descriptor, wait_limit_ms))
    {
        if (recv(m_descriptor, bytes.data(), bytes.size(), 0) <= 0)
            return true;
    }
    return false;
}

void raw_connection::end_output() const
{
    ::shutdown(m_descriptor, SHUT_WR);
}

void raw_connection::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

void raw_connection::reset()
{
    linger const at_once{1, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close();
}

bool raw_connection::receive_more()
{
    std::array<char, 4096> bytes{};
    if (!is_readable(m_descriptor, wait_limit_ms))
        return false;
    auto const received = recv(m_descriptor, bytes.data(), bytes.size(), 0);
    m_is_reset = received < 0;
    if (received <= 0)
        return false;
    m_input.append(bytes.data(), static_cast<std::size_t>(received));
    return true;
}

raw_connection connect_to(std::uint16_t port)
{
    auto const descriptor = socket(AF_INET, SOCK_STREAM, 0);
    raw_connection connected(descriptor);
    auto const address = loopback(port);
    require(connect(descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0);
    return connected;
}

raw_listener::raw_listener()
    : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
{
    auto const address = loopback(0);
    require(bind(m_descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0);
    constexpr int backlog = 64;
    require(listen(m_descriptor, backlog) == 0);
}

raw_listener::~raw_listener()
{
    ::close(m_descriptor);
}

std::uint16_t raw_listener::port() const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    require(getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    return ntohs(address.sin_port);
}

raw_connection raw_listener::accept() const
{
    require(has_connection(wait_limit_ms));
    return raw_connection(::accept(m_descriptor, nullptr, nullptr));
}

bool raw_listener::has_connection(int wait_ms) const
{
    return is_readable(m_descriptor, wait_ms);
}

} // namespace pistachiohub::support
