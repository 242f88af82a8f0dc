#include "tests/gateway/gateway_fixture.hpp"

namespace pistachiohub
{

using namespace gateway_test;

namespace
{

std::string const empty_chunked = "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";

std::string post_empty_chunked(std::string const& id)
{
    return "POST /o/" + id + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: 3000\r\n" + empty_chunked;
}

} // namespace

// Failure: the last chunk of an empty body that arrived in pieces ended the process.
TEST_CASE_METHOD(gateway_fixture,
                 "gateway_empty_chunked_body_in_pieces_is_passed_on",
                 "[gateway][http]")
{
    auto caller = connect();
    caller.send_in_pieces(post_empty_chunked("a"));
    auto server = m_server.accept();
    auto const received = server.receive_message();
    CHECK(received.starts_with("POST /o/a "));
    CHECK(received.find("Content-Length: 0\r\n") != std::string::npos);
    server.send(answer_to("a", "right"));
    CHECK(caller.receive_message().ends_with("right"));
    caller.send_in_pieces(post_empty_chunked("b"));
    CHECK(server.receive_message().starts_with("POST /o/b "));
}

// Failure: the same in the answer of a server.
TEST_CASE_METHOD(gateway_fixture,
                 "gateway_empty_chunked_answer_in_pieces_is_passed_on",
                 "[gateway][http]")
{
    auto caller = connect();
    caller.send(post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send_in_pieces("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: sig\r\n" +
                          empty_chunked);
    auto const answer = caller.receive_message();
    CHECK(has_status(answer, "200"));
    CHECK(answer.find("Content-Length: 0\r\n") != std::string::npos);
    caller.send(post("c", "d"));
    CHECK(server.receive_message().starts_with("POST /o/c "));
}

// Failure: the same at the ports for the platform.
TEST_CASE_METHOD(gateway_fixture,
                 "gateway_service_request_in_pieces_is_answered",
                 "[gateway][http]")
{
    auto const& own = *m_settings.gateway;
    auto const [port, target] =
        GENERATE_REF(std::pair(own.readiness.port, "/pistachiohub/ready"),
                     std::pair(own.directory.port,
                               "/pistachiohub/resolve?name=a.example&region=svealand&zone=sve-a"),
                     std::pair(own.metrics.port, "/metrics"));
    auto connection = support::connect_to(port);
    connection.send_in_pieces("GET " + std::string(target) + " HTTP/1.1\r\nHost: x\r\n" +
                              empty_chunked);
    CHECK(connection.receive_message().starts_with("HTTP/1.1 "));
    CHECK_FALSE(fetch(port, target).empty());
}

} // namespace pistachiohub
