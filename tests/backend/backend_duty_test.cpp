#include "plugins/backend/backend_duty.hpp"
#include "tests/support/duty_fixture.hpp"
#include "tests/support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace pistachiohub
{

namespace
{

using events::attempt_end;
using support::eventually;
using support::raw_connection;

std::string
answer_to(std::string const& unique, std::string const& body, std::string const& more = "")
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: host-1/1024/7/" + unique + "\r\nAttempt: 1\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string const refusal = "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";

class backend_fixture
{
protected:
    kernel::daemon_context m_context{support::make_settings("host-1"), 1024};
    kernel::mailbox<events::backend_command>& m_commands =
        m_context.shared<kernel::mailbox<events::backend_command>>();
    kernel::mailbox<events::forward_event>& m_results =
        m_context.shared<kernel::mailbox<events::forward_event>>();
    kernel::mailbox<events::control_event>& m_control =
        m_context.shared<kernel::mailbox<events::control_event>>();
    support::raw_listener m_server;
    backend::backend_client_times m_times;
    std::unique_ptr<backend::backend_duty> m_backend;
    std::unique_ptr<support::running_duty> m_running;
    std::uint64_t m_last_dispatch = 0;

    void start(std::uint32_t connections = 100, bool has_probes = false)
    {
        auto world = support::make_world("host-1", 1024);
        auto document = *world.configuration;
        for (auto& service : document.services)
            service.connections = connections;
        world.configuration = std::make_shared<configuration::configuration const>(document);
        if (has_probes)
        {
            view::backend_server server;
            server.name = "server-1";
            server.address = "127.0.0.1";
            server.port = m_server.port();
            world.backend_servers = {server};
        }
        m_context.shared<kernel::snapshot<view::world_view>>().publish(
            std::make_shared<view::world_view const>(world));
        m_backend = std::make_unique<backend::backend_duty>(m_context, m_times);
        m_running = std::make_unique<support::running_duty>(*m_backend);
    }

    void dispatch(std::string const& unique, int deadline_ms = 4000, std::string const& body = "b")
    {
        events::dispatch_attempt attempt;
        attempt.dispatch = ++m_last_dispatch;
        attempt.backend_server = "server-1";
        attempt.address = "127.0.0.1";
        attempt.port = m_server.port();
        attempt.id = {"host-1", 1024, 7, unique};
        attempt.attempt = 1;
        attempt.service = "redeem";
        attempt.deadline = kernel::monotonic_now() + std::chrono::milliseconds(deadline_ms);
        attempt.body = body;
        support::push(m_commands, std::move(attempt));
    }

    [[nodiscard]] events::attempt_result result()
    {
        auto received = support::receive<events::attempt_result>(m_results);
        REQUIRE(received);
        return *received;
    }

    [[nodiscard]] attempt_end end()
    {
        return result().end;
    }

    /// Accepts a connection and reads a request from it.
    [[nodiscard]] raw_connection accept_request()
    {
        auto connection = m_server.accept();
        REQUIRE_FALSE(connection.receive_message().empty());
        return connection;
    }
};

} // namespace

TEST_CASE_METHOD(backend_fixture, "backend_whole_answer_is_answered", "[backend][concurrent]")
{
    start();
    dispatch("a", 4000, "the body");
    auto connection = m_server.accept();
    auto const request = connection.receive_message();
    CHECK(request.find("POST /run HTTP/1.1\r\n") == 0);
    CHECK(request.find("Request-Id: host-1/1024/7/a\r\n") != std::string::npos);
    CHECK(request.find("Attempt: 1\r\n") != std::string::npos);
    auto const remaining = std::stoi(request.substr(request.find("Deadline-Ms: ") + 13));
    CHECK((remaining > 0 && remaining <= 4000));
    CHECK(request.substr(request.size() - 8) == "the body");
    connection.send(answer_to("a", "done", "Server-State: leaving\r\nLoad: 1/4\r\n"));
    auto const received = result();
    CHECK(received.dispatch == 1);
    CHECK(received.end == attempt_end::answered);
    CHECK(received.answer == "done");
    auto const observation = support::receive<events::backend_observation>(m_control);
    REQUIRE(observation);
    CHECK(observation->backend_server == "server-1");
    CHECK((observation->is_reachable && observation->is_leaving && observation->load == 0.25));
    // The connection is used again.
    dispatch("b");
    CHECK_FALSE(connection.receive_message().empty());
    connection.send(refusal);
    CHECK(end() == attempt_end::refused);
}

// Failure: the last chunk of an empty body that arrived in pieces ended the process.
TEST_CASE_METHOD(backend_fixture,
                 "backend_empty_chunked_answer_in_pieces_is_broken",
                 "[backend][concurrent]")
{
    start();
    dispatch("a");
    auto connection = accept_request();
    connection.send_in_pieces("HTTP/1.1 200 OK\r\nRequest-Id: host-1/1024/7/a\r\nAttempt: 1\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    // This interface demands a length.
    CHECK(end() == attempt_end::broken);
    dispatch("b");
    REQUIRE_FALSE(connection.receive_message().empty());
    connection.send_in_pieces(answer_to("b", "done"));
    CHECK(end() == attempt_end::answered);
}

// Whatever ends an exchange after its first byte, the request may have run.
TEST_CASE_METHOD(backend_fixture,
                 "backend_connection_closed_at_each_step_is_broken",
                 "[backend][concurrent]")
{
    start();
    auto const whole = answer_to("a", "done");
    for (std::size_t sent = 0; sent < whole.size(); sent += 7)
    {
        INFO("bytes of the answer sent: " << sent);
        dispatch("a");
        auto connection = accept_request();
        connection.send(std::string_view(whole).substr(0, sent));
        connection.close();
        CHECK(end() == attempt_end::broken);
    }
    dispatch("a");
    m_server.accept().close();
    CHECK(end() == attempt_end::broken);
}

TEST_CASE_METHOD(backend_fixture,
                 "backend_answer_that_proves_nothing_is_broken",
                 "[backend][concurrent]")
{
    start();
    std::string const too_large = "HTTP/1.1 200 OK\r\nRequest-Id: host-1/1024/7/a\r\nAttempt: 1\r\n"
                                  "Content-Length: 9999999\r\n\r\n";
    for (auto const& answer : {answer_to("other", "done"),
                               std::string("garbage\r\n\r\n"),
                               std::string("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
                               std::string("HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n"),
                               std::string("HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n"),
                               too_large})
    {
        dispatch("a");
        auto connection = accept_request();
        connection.send(answer);
        auto const received = result();
        CHECK(received.end == attempt_end::broken);
        CHECK(received.answer.empty());
        connection.close();
    }
}

// Guards against an answer that is none and leaves its connection in use: a refusal that follows it
// names no request, and would be taken for that of the next one, which may be running.
TEST_CASE_METHOD(backend_fixture,
                 "backend_connection_with_an_invalid_status_is_not_reused",
                 "[backend][concurrent]")
{
    auto const status = GENERATE("000", "100", "101", "999");
    start();
    dispatch("a");
    auto first = accept_request();
    first.send(std::string("HTTP/1.1 ") + status + " Odd\r\nContent-Length: 0\r\n\r\n");
    CHECK(end() == attempt_end::broken);
    dispatch("b");
    auto second = accept_request();
    second.send(answer_to("b", "two"));
    CHECK(result().answer == "two");
}

// Bytes without end are not kept: the connection is closed at a limit, well before the deadline.
TEST_CASE_METHOD(backend_fixture,
                 "backend_answer_without_end_is_cut_at_a_limit",
                 "[backend][concurrent]")
{
    auto const [framing, repeated] = GENERATE(
        std::pair<std::string, std::string>("Transfer-Encoding: chunked\r\n\r\n0\r\n",
                                            "X-More: more\r\n"),
        std::pair<std::string, std::string>("Transfer-Encoding: chunked\r\n\r\n5;", "more;"),
        std::pair<std::string, std::string>("\r\n", "more"),
        std::pair<std::string, std::string>("X-More: ", "more"));
    start();
    dispatch("a");
    auto connection = accept_request();
    connection.send("HTTP/1.1 200 OK\r\nRequest-Id: host-1/1024/7/a\r\nAttempt: 1\r\n" + framing);
    std::string block;
    while (block.size() < 65536)
        block += repeated;
    CHECK(connection.send_until_closed(block, 2000).has_value());
    CHECK(end() == attempt_end::broken);
}

// An unsolicited second answer must not be taken for the answer to the next request.
TEST_CASE_METHOD(backend_fixture,
                 "backend_crossed_answer_on_reused_connection_is_avoided",
                 "[backend][concurrent]")
{
    start();
    dispatch("a");
    auto first = accept_request();
    first.send(answer_to("a", "one") + answer_to("b", "crossed"));
    CHECK(result().answer == "one");
    dispatch("b");
    auto second = accept_request();
    second.send(answer_to("b", "two"));
    CHECK(result().answer == "two");
}

// Guards against a late copy of a refusal without an id that is taken for the answer to the next
// request, which a server may be running.
TEST_CASE_METHOD(backend_fixture,
                 "backend_connection_with_unidentified_refusal_is_not_reused",
                 "[backend]")
{
    start();
    dispatch("a");
    auto first = accept_request();
    first.send(refusal);
    CHECK(end() == attempt_end::refused);
    dispatch("b");
    auto second = accept_request();
    second.send(answer_to("b", "two"));
    CHECK(end() == attempt_end::answered);
}

TEST_CASE_METHOD(backend_fixture,
                 "backend_stale_idle_connection_is_replaced",
                 "[backend][concurrent]")
{
    start();
    dispatch("a");
    auto first = accept_request();
    first.send(answer_to("a", "one"));
    CHECK(end() == attempt_end::answered);
    first.close();
    dispatch("b");
    auto second = accept_request();
    second.send(answer_to("b", "two"));
    CHECK(end() == attempt_end::answered);
}

TEST_CASE_METHOD(backend_fixture,
                 "backend_idle_connection_is_closed_in_time",
                 "[backend][concurrent]")
{
    m_times.idle = std::chrono::milliseconds(100);
    start();
    dispatch("a");
    auto connection = accept_request();
    connection.send(answer_to("a", "one"));
    CHECK(end() == attempt_end::answered);
    CHECK(connection.is_closed_by_peer());
}

TEST_CASE_METHOD(backend_fixture,
                 "backend_refused_connection_is_never_sent",
                 "[backend][concurrent]")
{
    start();
    std::uint16_t const closed_port = support::raw_listener().port();
    events::dispatch_attempt attempt;
    attempt.backend_server = "server-2";
    attempt.address = "127.0.0.1";
    attempt.port = closed_port;
    attempt.deadline = kernel::monotonic_now() + support::wait_limit;
    support::push(m_commands, events::dispatch_attempt(attempt));
    CHECK(end() == attempt_end::never_sent);
    auto const observation = support::receive<events::backend_observation>(m_control);
    REQUIRE(observation);
    CHECK_FALSE(observation->is_reachable);
    attempt.address = "not an address";
    support::push(m_commands, std::move(attempt));
    CHECK(end() == attempt_end::never_sent);
}

TEST_CASE_METHOD(backend_fixture, "backend_passed_deadline_is_never_sent", "[backend][concurrent]")
{
    start();
    dispatch("a", 0);
    CHECK(end() == attempt_end::never_sent);
    CHECK_FALSE(m_server.has_connection(50));
}

TEST_CASE_METHOD(backend_fixture, "backend_connection_limit_is_never_sent", "[backend][concurrent]")
{
    start(1);
    dispatch("a");
    auto connection = accept_request();
    dispatch("b");
    auto const limited = result();
    CHECK(limited.dispatch == 2);
    CHECK(limited.end == attempt_end::never_sent);
    connection.send(answer_to("a", "one"));
    CHECK(result().dispatch == 1);
}

// A late answer settles its own request and must never reach the next one.
TEST_CASE_METHOD(backend_fixture,
                 "backend_late_answer_is_reported_and_connection_closed",
                 "[backend][concurrent]")
{
    start();
    dispatch("a", 100);
    auto connection = accept_request();
    CHECK(end() == attempt_end::deadline);
    dispatch("b");
    auto other = accept_request();
    connection.send(answer_to("a", "late"));
    auto const late = result();
    CHECK((late.dispatch == 1 && late.end == attempt_end::answered && late.answer == "late"));
    CHECK(connection.is_closed_by_peer());
    other.send(answer_to("b", "two"));
    CHECK(result().answer == "two");
}

TEST_CASE_METHOD(backend_fixture,
                 "backend_missing_late_answer_closes_connection",
                 "[backend][concurrent]")
{
    m_times.late = std::chrono::milliseconds(100);
    start();
    dispatch("a", 50);
    auto connection = accept_request();
    CHECK(end() == attempt_end::deadline);
    CHECK(connection.is_closed_by_peer());
    CHECK_FALSE(support::receive<events::attempt_result>(m_results, std::chrono::milliseconds(50)));
}

// A server that does not read must not keep the duty from other servers or from its deadline.
TEST_CASE_METHOD(backend_fixture,
                 "backend_server_that_does_not_read_ends_at_deadline",
                 "[backend][concurrent]")
{
    start();
    dispatch("a", 1000, std::string(std::size_t{24} * 1024 * 1024, 'x'));
    auto connection = m_server.accept();
    CHECK(end() == attempt_end::deadline);
    // A refusal sent before the body is read still proves that nothing ran.
    connection.send(refusal);
    CHECK(end() == attempt_end::refused);
}

TEST_CASE_METHOD(backend_fixture, "backend_cancellation_is_proven_or_not", "[backend][concurrent]")
{
    start();
    auto const ask = [&](std::string const& answer)
    {
        events::cancel_attempt cancel{9, "server-1", "127.0.0.1", m_server.port(), {}, 1};
        cancel.id = {"host-1", 1024, 7, "a"};
        support::push(m_commands, std::move(cancel));
        auto connection = m_server.accept();
        auto const request = connection.receive_message();
        CHECK(request.find("POST /cancel HTTP/1.1\r\n") == 0);
        CHECK(request.find("Request-Id: host-1/1024/7/a\r\n") != std::string::npos);
        CHECK(request.find("Attempt: 1\r\n") != std::string::npos);
        connection.send(answer);
        connection.close();
        auto const received = support::receive<events::cancel_result>(m_results);
        REQUIRE(received);
        return received->is_cancelled;
    };
    std::string const head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 22\r\n\r\n";
    CHECK(ask(head + R"({"result":"cancelled"})"));
    CHECK_FALSE(ask(head + R"({"result":"started"  })"));
    CHECK_FALSE(ask(head + R"({"result":"canc)"));
    CHECK_FALSE(ask(""));
}

TEST_CASE_METHOD(backend_fixture, "backend_probe_reports_load_and_state", "[backend][concurrent]")
{
    start(100, true);
    auto connection = m_server.accept();
    CHECK(connection.receive_message().find("GET /load HTTP/1.1\r\n") == 0);
    std::string const body = R"({"slots":4,"in_flight":3,"state":"leaving"})";
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body);
    auto const observation = support::receive<events::backend_observation>(m_control);
    REQUIRE(observation);
    CHECK((observation->is_reachable && observation->is_leaving && observation->load == 0.75));
    // The next probe comes on the same connection; one that is not answered says nothing.
    CHECK_FALSE(connection.receive_message().empty());
    CHECK(eventually(
        [&]()
        {
            return m_context.own_metrics()
                       .find_counter("pistachiohub_backend_probes_failed_total",
                                     {"reason", "expired"})
                       .value() == 1;
        }));
    CHECK_FALSE(
        support::receive<events::backend_observation>(m_control, std::chrono::milliseconds(10)));
}

// A result lost at a full mailbox would leave its request without an end.
TEST_CASE_METHOD(backend_fixture, "backend_full_mailbox_delays_results", "[backend][concurrent]")
{
    m_results.set_capacity(1);
    start();
    for (int number = 0; number < 3; ++number)
        dispatch("a", 0);
    for (std::uint64_t number = 1; number <= 3; ++number)
        CHECK(result().dispatch == number);
}

} // namespace pistachiohub
