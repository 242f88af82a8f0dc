#include "plugins/front/front_duty.hpp"
#include "tests/support/duty_fixture.hpp"
#include "tests/support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <vector>

namespace pistachiohub
{

namespace
{

using support::connect_to;
using support::eventually;

std::string const lookup_request = "GET /v1/lookup?service=balance HTTP/1.1\r\nHost: h\r\n\r\n";

std::string post(std::string const& headers, std::string const& body)
{
    return "POST /v1/requests/redeem HTTP/1.1\r\nHost: h\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string submission(std::string const& unique, std::string const& body = "b")
{
    return post("Pistachiohub-Request-Id: host-1/1024/7/" + unique +
                    "\r\nPistachiohub-Deadline-Ms: 4000\r\n",
                body);
}

bool has(std::string const& message, std::string const& part)
{
    return message.find(part) != std::string::npos;
}

class front_fixture
{
protected:
    kernel::daemon_context m_context{support::make_settings("host-1"), 1024};
    kernel::mailbox<events::forward_event>& m_forward =
        m_context.shared<kernel::mailbox<events::forward_event>>();
    kernel::mailbox<events::front_reply>& m_replies =
        m_context.shared<kernel::mailbox<events::front_reply>>();
    front::caller_server_limits m_limits;
    std::unique_ptr<front::front_duty> m_front;
    std::unique_ptr<support::running_duty> m_running;

    void start(bool is_ready = true)
    {
        if (is_ready)
            m_context.shared<kernel::snapshot<view::world_view>>().publish(
                std::make_shared<view::world_view const>(support::make_world("host-1", 1024)));
        m_front = std::make_unique<front::front_duty>(m_context, m_limits);
        m_running = std::make_unique<support::running_duty>(*m_front);
    }

    [[nodiscard]] support::raw_connection connect() const
    {
        return connect_to(m_front->port());
    }

    [[nodiscard]] std::string ask(std::string const& request) const
    {
        auto connection = connect();
        connection.send(request);
        return connection.receive_message();
    }

    [[nodiscard]] events::caller_request forwarded()
    {
        auto request = support::receive<events::caller_request>(m_forward);
        REQUIRE(request);
        return *request;
    }

    void reply(events::caller_request const& request, std::string const& answer)
    {
        events::front_reply made{
            request.exchange, *request.id, outcome::ran, reason::ok, answer, "", false};
        support::push(m_replies, std::move(made));
    }

    [[nodiscard]] double counted(std::string_view name)
    {
        return m_context.own_metrics().find_counter(name).value();
    }

    [[nodiscard]] double counted(std::string_view name, std::string_view cause)
    {
        return m_context.own_metrics().find_counter(name, {"reason", cause}).value();
    }

    [[nodiscard]] bool eventually_closed(std::string_view cause)
    {
        return eventually(
            [&]()
            {
                return counted("pistachiohub_front_connections_closed_total", cause) == 1;
            });
    }

    [[nodiscard]] bool serves_lookups() const
    {
        return has(ask(lookup_request), "HTTP/1.1 200 OK");
    }
};

constexpr auto refusals = "pistachiohub_front_refusals_total";
constexpr auto closed = "pistachiohub_front_connections_closed_total";

} // namespace

TEST_CASE_METHOD(front_fixture, "front_without_view_is_not_ready", "[front][concurrent]")
{
    start(false);
    auto const answer = ask(lookup_request);
    CHECK(has(answer, "HTTP/1.1 503"));
    CHECK(has(answer, R"("reason":"not_ready")"));
    CHECK(has(ask(submission("a")), R"("reason":"not_ready")"));
}

// Each of these must be a typed, counted refusal, after which the daemon still serves.
TEST_CASE_METHOD(front_fixture, "front_malformed_request_is_refused", "[front][concurrent]")
{
    start();
    std::string const big_header = "X: " + std::string(8192, 'x') + "\r\n";
    std::string const big_body(65537, 'x');
    std::string const chunked_head =
        "POST /v1/requests/redeem HTTP/1.1\r\nTransfer-Encoding: chunked"
        "\r\n\r\n";
    std::vector<std::pair<std::string, std::string>> const cases{
        {"garbage\r\n\r\n", "malformed_http"},
        {std::string("\x16\x03\x01\x00\xff\r\n\r\n", 9), "malformed_http"},
        {"GET / HTTP/9.9\r\n\r\n", "malformed_http"},
        {"GET /v1/lookup HTTP/1.1\r\nBad Name: x\r\n\r\n", "malformed_http"},
        {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "malformed_http"},
        {chunked_head + "zz\r\n", "malformed_http"},
        {post(big_header, ""), "header_too_large"},
        {"GET /" + std::string(9000, 'x') + " HTTP/1.1\r\n\r\n", "header_too_large"},
        {post("", big_body), "body_too_large"},
        {chunked_head + "10001\r\n" + big_body + "\r\n0\r\n\r\n", "body_too_large"},
        {"GET /other HTTP/1.1\r\n\r\n", "unknown_path"},
        {"GET /v1/lookup HTTP/1.1\r\n\r\n", "bad_query"},
        {"GET /v1/lookup?service=x HTTP/1.1\r\n\r\n", "unknown_service"},
        {post("Pistachiohub-Request-Id: x\r\n", ""), "bad_request_id"},
        {post("Pistachiohub-Request-Id: host-1/1/1/a\r\nPistachiohub-Transmission: 1\r\n", ""),
         "bad_deadline"},
        {post("Pistachiohub-Deadline-Ms: 100\r\n", ""), "missing_request_id"}};
    for (auto const& [request, cause] : cases)
    {
        INFO(cause << " for " << request.substr(0, 60));
        auto const before = counted(refusals, cause);
        auto const answer = ask(request);
        CHECK(has(answer, "Pistachiohub-Outcome: not_run"));
        CHECK(has(answer, R"({"outcome":"not_run","reason":")" + cause + '"'));
        CHECK(counted(refusals, cause) == before + 1);
        CHECK(serves_lookups());
    }
    CHECK(m_forward.size() == 0);
    // A caller would take the body of an answer to HEAD for its next answer.
    CHECK(has(ask("HEAD /v1/lookup?service=balance HTTP/1.1\r\n\r\n"), "Connection: close"));
}

// Failure: the last chunk of an empty body that arrived in pieces ended the process.
TEST_CASE_METHOD(front_fixture, "front_empty_chunked_body_in_pieces_is_read", "[front][concurrent]")
{
    start();
    auto connection = connect();
    connection.send_in_pieces("GET /v1/lookup?service=balance HTTP/1.1\r\nHost: h\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    CHECK(has(connection.receive_message(), "HTTP/1.1 200 OK"));
    CHECK(serves_lookups());
}

TEST_CASE_METHOD(front_fixture, "front_largest_body_and_header_are_accepted", "[front][concurrent]")
{
    start();
    auto connection = connect();
    connection.send(submission("a", std::string(65536, 'x')));
    CHECK(forwarded().body.size() == 65536);
    CHECK(has(
        ask("GET /v1/lookup?service=balance HTTP/1.1\r\nX: " + std::string(8100, 'x') + "\r\n\r\n"),
        "HTTP/1.1 200"));
}

// An answer on another caller's exchange would be taken for the outcome of its request.
TEST_CASE_METHOD(front_fixture,
                 "front_replies_out_of_order_reach_own_caller",
                 "[front][concurrent]")
{
    start();
    auto first = connect();
    auto second = connect();
    first.send(submission("first"));
    auto const first_request = forwarded();
    second.send(submission("second"));
    auto const second_request = forwarded();
    reply(second_request, "answer to second");
    reply(first_request, "answer to first");
    auto const first_answer = first.receive_message();
    CHECK(has(first_answer, "\r\n\r\nanswer to first"));
    CHECK(has(first_answer, "Pistachiohub-Request-Id: host-1/1024/7/first"));
    CHECK(has(second.receive_message(), "\r\n\r\nanswer to second"));
}

TEST_CASE_METHOD(front_fixture,
                 "front_pipelined_requests_are_answered_in_order",
                 "[front][concurrent]")
{
    start();
    auto connection = connect();
    connection.send(submission("first") + submission("second") + lookup_request);
    reply(forwarded(), "one");
    CHECK(has(connection.receive_message(), "\r\n\r\none"));
    reply(forwarded(), "two");
    CHECK(has(connection.receive_message(), "\r\n\r\ntwo"));
    CHECK(has(connection.receive_message(), R"("service":"balance")"));
}

TEST_CASE_METHOD(front_fixture,
                 "front_reply_for_another_id_is_not_delivered",
                 "[front][concurrent]")
{
    start();
    auto connection = connect();
    connection.send(submission("a"));
    auto const request = forwarded();
    auto other = request;
    other.id->unique = "other";
    reply(other, "answer to other");
    reply(request, "own answer");
    CHECK(has(connection.receive_message(), "\r\n\r\nown answer"));
    CHECK(counted("pistachiohub_front_mismatched_replies_total") == 1);
}

// A caller that goes away does not stop its request, and its answer must reach nobody else.
TEST_CASE_METHOD(front_fixture, "front_reply_after_caller_left_is_dropped", "[front][concurrent]")
{
    start();
    auto connection = connect();
    connection.send(submission("a"));
    auto const request = forwarded();
    connection.close();
    CHECK(eventually_closed("caller_gone"));
    reply(request, "late");
    CHECK(eventually(
        [&]()
        {
            return counted("pistachiohub_front_late_replies_total") == 1;
        }));
    CHECK(serves_lookups());
}

// A connection that ends at any byte of a request must leave the daemon serving.
TEST_CASE_METHOD(front_fixture,
                 "front_connection_closed_at_each_step_is_survived",
                 "[front][concurrent]")
{
    start();
    auto const request = submission("a", "body");
    for (std::size_t sent = 0; sent < request.size(); ++sent)
        connect().send(std::string_view(request).substr(0, sent));
    CHECK(serves_lookups());
    CHECK(eventually(
        [&]()
        {
            return counted(closed, "caller_closed") >= request.size();
        }));
    CHECK(m_forward.size() == 0);
}

TEST_CASE_METHOD(front_fixture, "front_full_mailbox_refuses_request", "[front][concurrent]")
{
    m_forward.set_capacity(1);
    start();
    auto waiting = connect();
    waiting.send(submission("a"));
    REQUIRE(eventually(
        [&]()
        {
            return m_forward.size() == 1;
        }));
    CHECK(has(ask(submission("b")), "Pistachiohub-Reason: daemon_overloaded"));
}

// The expiry answer keeps a lost reply from holding a caller for ever.
TEST_CASE_METHOD(front_fixture, "front_missing_reply_becomes_unresolved", "[front][concurrent]")
{
    start();
    auto const answer = ask(
        post("Pistachiohub-Request-Id: host-1/1024/7/a\r\nPistachiohub-Deadline-Ms: 1\r\n", ""));
    CHECK(has(answer, "HTTP/1.1 504"));
    CHECK(has(answer, "Pistachiohub-Outcome: unresolved"));
}

// Callers that send or read slowly must not hold connections.
TEST_CASE_METHOD(front_fixture, "front_slow_caller_is_disconnected", "[front][concurrent]")
{
    m_limits.idle = std::chrono::milliseconds(100);
    m_limits.read = std::chrono::milliseconds(100);
    m_limits.write = std::chrono::milliseconds(100);
    start();
    auto idle = connect();
    CHECK(idle.is_closed_by_peer());
    auto slow = connect();
    slow.send("GET /v1/look");
    CHECK(slow.is_closed_by_peer());
    auto reader = connect();
    reader.send(submission("a"));
    reply(forwarded(), std::string(std::size_t{32} * 1024 * 1024, 'x'));
    CHECK(eventually_closed("slow_reader"));
    CHECK(counted(closed, "idle") >= 1);
    CHECK(counted(closed, "slow_request") == 1);
    CHECK(serves_lookups());
}

TEST_CASE_METHOD(front_fixture, "front_too_many_connections_are_refused", "[front][concurrent]")
{
    m_limits.most_connections = 1;
    start();
    auto first = connect();
    first.send(lookup_request);
    CHECK(has(first.receive_message(), "HTTP/1.1 200"));
    auto second = connect();
    CHECK(has(second.receive_message(), R"("reason":"daemon_overloaded")"));
    first.close();
    CHECK(eventually(
        [&]()
        {
            return serves_lookups();
        }));
}

// A graceful shutdown cuts no request.
TEST_CASE_METHOD(front_fixture, "front_stop_writes_answers_at_hand", "[front][concurrent]")
{
    start();
    auto connection = connect();
    connection.send(submission("a"));
    reply(forwarded(), "last answer");
    m_running->stop();
    CHECK(has(connection.receive_message(), "\r\n\r\nlast answer"));
}

} // namespace pistachiohub
