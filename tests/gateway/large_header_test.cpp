// Headers beyond 64 KiB, where the configuration permits them, and from servers, which it does not
// bound.

#include "tests/gateway/gateway_fixture.hpp"

#include <optional>

namespace pistachiohub
{

namespace
{

using gateway_test::answer_to;
using gateway_test::gateway_fixture;
using gateway_test::get;
using gateway_test::has_status;
using gateway_test::post;

constexpr std::size_t large_bytes = 70'000;
constexpr double ample_memory_mb = 32;

/// A gateway whose configuration permits heads of 128 KiB.
class large_header_fixture : public gateway_fixture
{
protected:
    large_header_fixture()
        : gateway_fixture(true, gateway_test::short_grace, true, ample_memory_mb)
    {
        constexpr std::uint32_t permitted_bytes = 131'072;
        routing::routing_document document;
        document.version = 2;
        document.limits.header_bytes = permitted_bytes;
        document.limits.body_bytes = permitted_bytes;
        add_route(document, "/i/", routing::request_kind::idempotent);
        add_route(document, "/o/", routing::request_kind::at_most_once);
        push(events::store_update<routing::routing_document>{true, 2, {{"main", 2, document}}});
        REQUIRE(support::eventually(
            [this]()
            {
                auto caller = connect();
                caller.send("GET /other HTTP/1.1\r\nHost: a.example\r\nX-Long: " +
                            std::string(large_bytes, 'x') + "\r\n\r\n");
                return has_status(caller.receive_message(), "404");
            }));
    }

    /// Serves a request whose server repeats `id`.
    void check_served(std::string const& request, std::string const& id, std::string const& part)
    {
        auto caller = connect();
        caller.send(request);
        auto server = m_server.accept();
        auto const received = server.receive_message();
        CHECK(received.find(part) != std::string::npos);
        server.send(answer_to(id, "right"));
        auto const answer = caller.receive_message();
        CHECK(has_status(answer, "200"));
        CHECK(answer.ends_with("right"));
    }
};

} // namespace

// Failure: the storage of a head threw an exception for a field above 65,533 bytes, which ended the
// process.
TEST_CASE_METHOD(large_header_fixture, "gateway_large_field_in_the_limits_is_served", "[gateway]")
{
    std::string const large(large_bytes, 'x');
    auto const field = GENERATE_COPY("X-Long: " + large + "\r\n",
                                     large + ": short\r\n",
                                     "Cookie: X-Affinity-Key=" + large + "\r\n",
                                     "Connection: " + large + "\r\n");
    bool const is_forwarded = !field.starts_with("Connection");
    check_served(get("a", field), "a", is_forwarded ? field : "");
}

// Failure: the same for the id, which the server repeats in an answer whose head is bounded.
TEST_CASE_METHOD(large_header_fixture, "gateway_large_id_in_the_limits_is_served", "[gateway]")
{
    std::string const id(GENERATE(std::size_t{65'533}, std::size_t{65'534}, std::size_t{130'000}),
                         'i');
    check_served("GET /i/a HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
                     "\r\nX-Deadline-Ms: 3000\r\n\r\n",
                 id,
                 id);
    auto const settled = take_settled();
    REQUIRE(settled.size() == 1);
    CHECK(settled[0].result == outcome::ran);
}

TEST_CASE_METHOD(large_header_fixture, "gateway_head_above_the_limits_is_431", "[gateway]")
{
    auto caller = connect();
    caller.send(get("a", "X-Long: " + std::string(131'072, 'x') + "\r\n"));
    CHECK(has_status(caller.receive_message(), "431"));
}

// Failure: a trailer of a server's answer above 65,533 bytes ended the process, whatever the
// configuration permits.
TEST_CASE_METHOD(gateway_fixture, "gateway_large_trailer_of_a_server_ends_its_answer", "[gateway]")
{
    std::string const large(large_bytes, 'x');
    auto const trailer = GENERATE_COPY("X-Long: " + large, large + ": short");
    auto caller = connect();
    caller.send(post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: sig\r\n"
                "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" +
                trailer + "\r\n\r\n");
    auto const answer = caller.receive_message();
    INFO(answer);
    CHECK(has_status(answer, "502"));
    caller.send(post("c", "d"));
    // The gateway checks with a connection of its own whether the server still listens.
    std::optional<gateway_test::raw_connection> next(m_server.accept());
    if (next->receive_message().empty())
    {
        next.emplace(m_server.accept());
        REQUIRE_FALSE(next->receive_message().empty());
    }
    next->send(answer_to("c", "right"));
    CHECK(caller.receive_message().ends_with("right"));
}

} // namespace pistachiohub
