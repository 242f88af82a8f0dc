#include "libraries/http/client.hpp"
#include "tests/support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <thread>

namespace pistachiohub
{

// Guards against a repetition that doubles the timeout: a host that is lost in the middle of a
// question must not be waited for twice.
TEST_CASE("http_client_repeated_request_ends_in_the_time_of_one", "[libraries][concurrent]")
{
    using std::chrono::milliseconds;
    static constexpr auto timeout = milliseconds(1000);
    http::client_limits limits;
    limits.read_timeout = timeout;
    support::raw_listener listener;
    http::client client("127.0.0.1", listener.port(), limits);
    // Checked after the join: assertions of the test library are not safe on two threads.
    bool is_second_closed = false;
    std::thread server(
        [&listener, &is_second_closed]()
        {
            auto first = listener.accept();
            static_cast<void>(first.receive_message());
            first.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            static_cast<void>(first.receive_message());
            std::this_thread::sleep_for(timeout * 8 / 10);
            first.close();
            auto second = listener.accept();
            static_cast<void>(second.receive_message());
            is_second_closed = second.is_closed_by_peer();
        });
    CHECK(client.send({"GET", "/", {}, {}}).status == 200);
    auto const begin = kernel::monotonic_now();
    CHECK_THROWS_AS(client.send({"GET", "/", {}, {}}), http::timed_out);
    CHECK(kernel::monotonic_now() - begin < timeout * 3 / 2);
    server.join();
    CHECK(is_second_closed);
}

} // namespace pistachiohub
