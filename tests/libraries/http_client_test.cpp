#include "libraries/http/client.hpp"
#include "tests/support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
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

// Guards against an interim answer that is taken for the answer itself, so that the answer behind
// it waits on the connection for the next request.
TEST_CASE("http_client_interim_answer_is_skipped", "[libraries][concurrent]")
{
    support::raw_listener listener;
    http::client client("127.0.0.1", listener.port());
    std::thread server(
        [&listener]()
        {
            auto connection = listener.accept();
            static_cast<void>(connection.receive_message());
            connection.send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
            static_cast<void>(connection.receive_message());
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
        });
    CHECK(client.send({"GET", "/", {}, {}}).body == "one");
    CHECK(client.send({"GET", "/", {}, {}}).body == "two");
    server.join();
}

// A status that is none of HTTP proves nothing: the request may have taken effect, and what follows
// on the connection belongs to no request.
TEST_CASE("http_client_invalid_status_is_a_lost_answer", "[libraries][concurrent]")
{
    auto const status = GENERATE("000", "099", "101", "600", "999");
    support::raw_listener listener;
    http::client client("127.0.0.1", listener.port());
    bool is_closed = false;
    std::thread server(
        [&listener, &is_closed, status]()
        {
            auto connection = listener.accept();
            static_cast<void>(connection.receive_message());
            connection.send(std::string("HTTP/1.1 ") + status +
                            " Odd\r\nContent-Length: 0\r\n\r\n");
            is_closed = connection.is_closed_by_peer();
        });
    CHECK_THROWS_AS(client.send({"PUT", "/", {}, {}}), http::lost_answer);
    server.join();
    CHECK(is_closed);
}

TEST_CASE("http_client_interim_answers_without_end_are_refused", "[libraries][concurrent]")
{
    support::raw_listener listener;
    http::client client("127.0.0.1", listener.port());
    std::optional<std::size_t> sent;
    std::thread server(
        [&listener, &sent]()
        {
            auto connection = listener.accept();
            static_cast<void>(connection.receive_message());
            sent = connection.send_until_closed("HTTP/1.1 100 Continue\r\n\r\n", 3000);
        });
    CHECK_THROWS_AS(client.send({"GET", "/", {}, {}}), http::lost_answer);
    server.join();
    CHECK(sent.has_value());
}

} // namespace pistachiohub
