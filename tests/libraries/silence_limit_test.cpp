#include "libraries/http/silence_limit.hpp"

#include "tests/support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <thread>

namespace pistachiohub
{

namespace
{

using std::chrono::milliseconds;

constexpr auto limit = milliseconds(1000);

/// A connection with the limit, to a peer that reads only when it is told to.
class silence_limit_fixture
{
protected:
    int m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bool m_is_suspended = false;

    silence_limit_fixture()
    {
        // A peer that reads much would otherwise get more room.
        int const room = 65536;
        REQUIRE(::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &room, sizeof(room)) == 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* const any = reinterpret_cast<sockaddr*>(&address);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(m_listener, any, size) == 0);
        REQUIRE(::listen(m_listener, 1) == 0);
        REQUIRE(::getsockname(m_listener, any, &size) == 0);
        REQUIRE(::connect(m_socket, any, size) == 0);
        http::set_silence_limit(m_socket, limit);
    }

    ~silence_limit_fixture()
    {
        ::close(m_socket);
        ::close(m_listener);
    }

    [[nodiscard]] support::raw_connection accept() const
    {
        return support::raw_connection(::accept(m_listener, nullptr, nullptr));
    }

    /// Sends until the kernel takes no more.
    /// @returns the number of bytes sent.
    [[nodiscard]] std::size_t fill() const
    {
        std::string const bytes(65536, 'x');
        std::size_t sent = 0;
        while (true)
        {
            auto const taken =
                ::send(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            if (taken <= 0)
                return sent;
            sent += static_cast<std::size_t>(taken);
        }
    }

    /// Sends a message that the kernel takes at once, and that is larger than the peer's room.
    void send_message()
    {
        constexpr std::size_t body_bytes = 1'000'000;
        auto const message = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_bytes) +
                             "\r\n\r\n" + std::string(body_bytes, 'x');
        REQUIRE(::send(m_socket, message.data(), message.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(message.size()));
        CHECK(http::update_silence_limit(m_socket, limit, m_is_suspended));
    }

    void update_for(milliseconds time)
    {
        constexpr auto interval = milliseconds(200);
        for (auto passed = milliseconds(0); passed < time; passed += interval)
        {
            CHECK(http::update_silence_limit(m_socket, limit, m_is_suspended));
            std::this_thread::sleep_for(interval);
        }
    }
};

} // namespace

// Failure: a peer that took no data for the limit lost its connection, though it acknowledged all
// that it had room for.
TEST_CASE_METHOD(silence_limit_fixture,
                 "silence_limit_of_a_peer_that_reads_late_keeps_the_connection",
                 "[http]")
{
    auto peer = accept();
    auto const sent = fill();
    update_for(4 * limit);
    ::shutdown(m_socket, SHUT_WR);
    auto const rest = peer.receive_rest();
    CHECK_FALSE(rest.is_reset);
    CHECK(rest.bytes.size() == sent);
    CHECK_FALSE(http::update_silence_limit(m_socket, limit, m_is_suspended));
}

// Failure: as above, at the second time without room. The kernel counted from the first one.
TEST_CASE_METHOD(silence_limit_fixture,
                 "silence_limit_of_a_peer_that_reads_late_again_keeps_the_connection",
                 "[http]")
{
    auto peer = accept();
    for (int pause = 0; pause < 3; ++pause)
    {
        send_message();
        update_for(limit);
        CHECK_FALSE(peer.receive_message().empty());
        CHECK_FALSE(http::update_silence_limit(m_socket, limit, m_is_suspended));
        std::this_thread::sleep_for(2 * limit);
    }
}

} // namespace pistachiohub
