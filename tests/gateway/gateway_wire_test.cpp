#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "libraries/events/gateway_event.hpp"
#include "libraries/events/store_command.hpp"
#include "tests/gateway/gateway_fixture.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>

namespace pistachiohub
{

namespace
{

namespace json = boost::json;

using namespace gateway_test;

/// A gateway whose thread handles nothing before start().
class busy_gateway_fixture : public gateway_fixture
{
protected:
    busy_gateway_fixture()
        : gateway_fixture(true, short_grace, false)
    {
    }
};

/// A gateway with time for a request of one second in a planned stop.
class long_stop_fixture : public gateway_fixture
{
protected:
    long_stop_fixture()
        : gateway_fixture(true, milliseconds(4000))
    {
    }

    /// Serves one request, so that the gateway knows that runs of its route are short.
    void serve_once()
    {
        auto caller = connect();
        caller.send(get("first"));
        auto server = m_server.accept();
        REQUIRE_FALSE(server.receive_message().empty());
        server.send(answer_to("first", "bytes", "Connection: close\r\n"));
        REQUIRE(has_status(caller.receive_message(), "200"));
    }
};

} // namespace

TEST_CASE_METHOD(gateway_fixture,
                 "gateway_request_and_answer_pass_unchanged",
                 "[gateway][concurrent]")
{
    auto caller = connect();
    caller.send(post("a", "the body"));
    auto server = m_server.accept();
    auto const request = server.receive_message();
    CHECK(request.starts_with("POST /o/a HTTP/1.1\r\n"));
    CHECK(request.find("X-Target-Instance: i-1\r\n") != std::string::npos);
    CHECK(request.ends_with("\r\n\r\nthe body"));
    server.send(answer_to("a", "bytes"));
    auto const answer = caller.receive_message();
    CHECK(has_status(answer, "200"));
    CHECK(answer.find("X-Response-Signature: sig-a\r\n") != std::string::npos);
    CHECK(answer.ends_with("\r\n\r\nbytes"));
}

TEST_CASE_METHOD(gateway_fixture, "gateway_chunked_body_reaches_the_server_whole", "[gateway]")
{
    auto caller = connect();
    caller.send("POST /o/a HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a\r\n"
                "Transfer-Encoding: chunked\r\n\r\n4\r\nthe \r\n4\r\nbody\r\n0\r\n\r\n");
    auto server = m_server.accept();
    auto const request = server.receive_message();
    CHECK(request.ends_with("\r\n\r\nthe body"));
    CHECK(request.find("Content-Length: 8\r\n") != std::string::npos);
}

TEST_CASE_METHOD(gateway_fixture,
                 "gateway_pipelined_answers_keep_the_order_of_requests",
                 "[gateway][concurrent]")
{
    auto caller = connect();
    caller.send(get("a") + get("b"));
    auto one = m_server.accept();
    auto two = m_server.accept();
    auto const first = one.receive_message();
    CHECK_FALSE(two.receive_message().empty());
    bool const one_has_a = first.starts_with("GET /i/a ");
    auto& with_a = one_has_a ? one : two;
    auto& with_b = one_has_a ? two : one;
    with_b.send(answer_to("b", "second"));
    with_a.send(answer_to("a", "first"));
    CHECK(caller.receive_message().ends_with("first"));
    CHECK(caller.receive_message().ends_with("second"));
}

// Guards against a fault in which the session of a caller that sent "Connection: close" was
// destroyed while its request ran.
TEST_CASE_METHOD(gateway_fixture, "gateway_last_request_of_a_connection_is_answered", "[gateway]")
{
    auto caller = connect();
    caller.send(get("a", "Connection: close\r\n"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(answer_to("a", "bytes"));
    auto const answer = caller.receive_message();
    CHECK(has_status(answer, "200"));
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    CHECK(caller.is_closed_by_peer());
}

TEST_CASE_METHOD(gateway_fixture,
                 "gateway_disconnected_caller_closes_the_server_connection",
                 "[gateway]")
{
    auto caller = connect();
    caller.send(get("a"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    caller.close();
    CHECK(server.is_closed_by_peer());
}

// An answer shorter than its Content-Length must not be delivered as a complete one.
TEST_CASE_METHOD(gateway_fixture, "gateway_truncated_answer_is_not_delivered", "[gateway]")
{
    auto caller = connect();
    caller.send(post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\n"
                "Content-Length: 10\r\n\r\nhalf");
    server.close();
    CHECK(has_status(caller.receive_message(), "502"));
}

// Guards against an answer whose head ends in the middle and that is delivered as a whole one with
// an empty or short body: no byte at which a server may stop makes a head complete.
TEST_CASE_METHOD(gateway_fixture, "gateway_answer_with_a_torn_head_is_not_delivered", "[gateway]")
{
    constexpr std::size_t step = 3;
    auto const interim = GENERATE(std::string(), std::string("HTTP/1.1 100 Continue\r\n\r\n"));
    auto const whole = interim + "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n" +
                       "X-Response-Signature: s\r\nContent-Length: 4\r\n\r\nbody";
    // A request with an id, so that each connection to the server is either its own or a check.
    auto const accept_request = [this]()
    {
        while (true)
        {
            auto connection = m_server.accept();
            if (!connection.receive_message().empty())
                return connection;
        }
    };
    for (std::size_t length = 0; length < whole.size(); length += step)
    {
        auto caller = connect();
        caller.send(post("a", "b"));
        auto server = accept_request();
        server.send(whole.substr(0, length));
        server.close();
        INFO(length << " bytes");
        CHECK(has_status(caller.receive_message(), "502"));
        // A success, after which the next request is not held back by the failure.
        auto next_caller = connect();
        next_caller.send(post("a", "b"));
        accept_request().send(whole);
        CHECK(has_status(next_caller.receive_message(), "200"));
    }
}

TEST_CASE_METHOD(gateway_fixture,
                 "gateway_answer_that_ends_with_its_connection_is_delivered",
                 "[gateway]")
{
    auto caller = connect();
    caller.send(post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\n\r\nall of it");
    server.close();
    auto const answer = caller.receive_message();
    CHECK(has_status(answer, "200"));
    CHECK(answer.ends_with("\r\n\r\nall of it"));
}

// A late answer to an earlier request must not be delivered, and its connection must not be reused.
TEST_CASE_METHOD(gateway_fixture, "gateway_answer_to_another_request_is_skipped", "[gateway]")
{
    auto caller = connect();
    caller.send(post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(answer_to("older", "wrong") + answer_to("a", "right"));
    CHECK(caller.receive_message().ends_with("right"));
    caller.send(post("c", "d"));
    auto next = m_server.accept();
    CHECK_FALSE(next.receive_message().empty());
}

// Guards against a late copy of a refusal without an id that is taken for the answer to the next
// request on the connection: its caller would be told that it did not run while it runs.
TEST_CASE_METHOD(gateway_fixture,
                 "gateway_connection_with_unidentified_refusal_is_not_reused",
                 "[gateway]")
{
    std::string const refusal =
        "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    auto caller = connect();
    caller.send(post("a", "b"));
    auto first = m_server.accept();
    REQUIRE_FALSE(first.receive_message().empty());
    first.send(refusal);
    CHECK(has_status(caller.receive_message(), "503"));
    caller.send(post("c", "d"));
    auto second = m_server.accept();
    REQUIRE_FALSE(second.receive_message().empty());
    CHECK(first.is_closed_by_peer());
    second.send(answer_to("c", "right"));
    CHECK(caller.receive_message().ends_with("right"));
}

TEST_CASE_METHOD(gateway_fixture,
                 "gateway_connection_with_identified_refusal_is_reused",
                 "[gateway]")
{
    auto caller = connect();
    caller.send(post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send("HTTP/1.1 503 Busy\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n");
    CHECK(has_status(caller.receive_message(), "503"));
    caller.send(post("c", "d"));
    CHECK(server.receive_message().starts_with("POST /o/c "));
}

TEST_CASE_METHOD(gateway_fixture, "gateway_connection_with_extra_bytes_is_not_reused", "[gateway]")
{
    auto caller = connect();
    caller.send(post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(answer_to("a", "right") + "garbage");
    CHECK(caller.receive_message().ends_with("right"));
    caller.send(post("c", "d"));
    auto next = m_server.accept();
    CHECK_FALSE(next.receive_message().empty());
}

TEST_CASE_METHOD(gateway_fixture, "gateway_invalid_answer_ends_the_request", "[gateway]")
{
    auto caller = connect();
    caller.send(post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send("not an answer\r\n\r\n");
    CHECK(has_status(caller.receive_message(), "502"));
}

// Guards against a status that is none of HTTP: one below 200 was taken for an interim answer, so
// that the request waited for another one until its deadline, and one above 599 reached callers.
TEST_CASE_METHOD(gateway_fixture,
                 "gateway_answer_with_an_invalid_status_is_not_delivered",
                 "[gateway][concurrent]")
{
    auto const status = GENERATE("000", "001", "099", "101", "600", "999");
    auto const more = GENERATE("", "X-Not-Executed: 1\r\n");
    auto caller = connect();
    caller.send(post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    auto const begin = kernel::monotonic_now();
    server.send(std::string("HTTP/1.1 ") + status +
                " Odd\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\n" + more +
                "Content-Length: 4\r\n\r\nbody");
    CHECK(has_status(caller.receive_message(), "502"));
    // Well before the deadline of the request at 2 s.
    CHECK(kernel::monotonic_now() - begin < milliseconds(1000));
    CHECK(server.is_closed_by_peer());
}

TEST_CASE_METHOD(gateway_fixture,
                 "gateway_repeatable_request_behind_an_invalid_status_is_served",
                 "[gateway][concurrent]")
{
    support::raw_listener second;
    push(events::store_update<fleet::backend_server>{
        false, 2, {{"i-2", 2, make_server("i-2", second)}}});
    auto caller = connect();
    caller.send(get("a"));
    auto const other =
        std::async(std::launch::async,
                   [this, &second]()
                   {
                       auto& first_asked = m_server.has_connection(1000) ? m_server : second;
                       auto odd = first_asked.accept();
                       static_cast<void>(odd.receive_message());
                       odd.send("HTTP/1.1 000 Odd\r\nX-Attempt-Id: a\r\n"
                                "X-Response-Signature: s\r\nContent-Length: 0\r\n\r\n");
                       auto sound = (&first_asked == &second ? m_server : second).accept();
                       static_cast<void>(sound.receive_message());
                       sound.send(answer_to("a", "bytes"));
                   });
    auto const answer = caller.receive_message();
    other.wait();
    CHECK(has_status(answer, "200"));
    CHECK(answer.ends_with("\r\n\r\nbytes"));
}

// A head that is none of HTTP says nothing of the bytes behind it.
TEST_CASE_METHOD(gateway_fixture,
                 "gateway_answer_with_an_invalid_field_is_not_delivered",
                 "[gateway][concurrent]")
{
    auto const field = GENERATE(std::string("X Odd: 1"),
                                std::string("X-Odd : 1"),
                                std::string("X\tOdd: 1"),
                                std::string("X\x01Odd: 1"),
                                std::string("X\0Odd: 1", 8),
                                std::string("X\x7fOdd: 1"),
                                std::string("X\xe9Odd: 1"),
                                std::string(": 1"),
                                std::string("X-Odd"),
                                std::string("X-Odd: \x01"),
                                std::string("X-Odd: \0", 8));
    auto caller = connect();
    caller.send(post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\n" + field +
                "\r\nContent-Length: 4\r\n\r\nbody");
    CHECK(has_status(caller.receive_message(), "502"));
    CHECK(server.is_closed_by_peer());
}

TEST_CASE_METHOD(gateway_fixture, "gateway_server_connection_is_reused", "[gateway]")
{
    auto caller = connect();
    caller.send(post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(answer_to("a", "one"));
    CHECK(caller.receive_message().ends_with("one"));
    caller.send(post("c", "d"));
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(answer_to("c", "two"));
    CHECK(caller.receive_message().ends_with("two"));
}

// Request smuggling: with two conflicting lengths, a backend server could parse a part of the body
// as another request.
TEST_CASE_METHOD(gateway_fixture, "gateway_smuggled_request_is_refused", "[gateway]")
{
    auto const bad = GENERATE(std::string("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
                              std::string("Content-Length: 4\r\nContent-Length: 5\r\n"),
                              std::string("Content-Length: -1\r\n"),
                              std::string("Content-Length: 4x\r\n"));
    auto caller = connect();
    caller.send("POST /o/a HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a\r\n" + bad +
                "\r\n0\r\n\r\nGET /i/evil HTTP/1.1\r\n\r\n");
    CHECK(has_status(caller.receive_message(), "400"));
    CHECK(caller.is_closed_by_peer());
    CHECK_FALSE(m_server.has_connection(50));
}

TEST_CASE_METHOD(gateway_fixture, "gateway_oversize_request_is_refused", "[gateway]")
{
    auto caller = connect();
    caller.send(get("a", "X-Long: " + std::string(5000, 'x') + "\r\n"));
    CHECK(has_status(caller.receive_message(), "431"));
    auto other = connect();
    other.send("POST /o/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100001\r\n\r\n");
    CHECK(has_status(other.receive_message(), "413"));
}

// Callers that send large bodies slowly must not exhaust the memory: the host would kill the
// process and all requests in it would be lost.
TEST_CASE_METHOD(gateway_fixture, "gateway_bodies_beyond_the_memory_limit_are_refused", "[gateway]")
{
    std::string const part(90000, 'x');
    auto const head = "POST /o/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 99000\r\n\r\n";
    auto one = connect();
    one.send(head + part);
    auto two = connect();
    two.send(head + part);
    CHECK(support::eventually(
        [this]()
        {
            return held_bytes() >= 180000;
        }));
    auto three = connect();
    three.send(head + part);
    auto const refused = three.receive_message();
    CHECK(has_status(refused, "503"));
    CHECK(three.is_closed_by_peer());
    one.close();
    CHECK(support::eventually(
        [this]()
        {
            return held_bytes() < 100000;
        }));
    auto four = connect();
    four.send(post("b", "small"));
    auto server = m_server.accept();
    CHECK(server.receive_message().ends_with("small"));
}

TEST_CASE_METHOD(gateway_fixture, "gateway_expect_100_continue_is_answered", "[gateway]")
{
    auto caller = connect();
    caller.send("POST /o/a HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a\r\n"
                "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    CHECK(has_status(caller.receive_message(), "100"));
    caller.send("body");
    auto server = m_server.accept();
    CHECK(server.receive_message().ends_with("\r\n\r\nbody"));
}

/// A gateway that has read nothing from the store, as after a restart while the store is
/// unreachable.
class gateway_without_store_fixture : public gateway_fixture
{
protected:
    gateway_without_store_fixture()
        : gateway_fixture(false)
    {
    }
};

// A daemon that has read nothing from the store cannot serve requests, so the directory must not
// name it.
TEST_CASE_METHOD(gateway_without_store_fixture,
                 "gateway_directory_names_only_ready_hosts",
                 "[gateway]")
{
    auto const& gateway = *m_settings.gateway;
    std::string const target = "/pistachiohub/resolve?name=a.example&region=svealand&zone=sve-a";
    CHECK(has_status(fetch(gateway.directory.port, target), "503"));
    fleet::entry_host other;
    other.name = "host-2";
    other.callers = {"10.0.0.2", 80};
    other.failure_domain = "sve-a";
    other.region = "svealand";
    other.report = 1;
    push(events::store_update<fleet::entry_host>{true, 1, {{other.name, 1, other}}});
    // A host counts as live after a second report with a higher number.
    other.report = 2;
    push(events::store_update<fleet::entry_host>{false, 2, {{other.name, 2, other}}});
    std::string answer;
    auto const is_named = [&](std::string const& address)
    {
        answer = fetch(gateway.directory.port, target);
        return answer.find(address) != std::string::npos;
    };
    CHECK(support::eventually(
        [&is_named]()
        {
            return is_named("10.0.0.2:80");
        }));
    CHECK(answer.find(to_string(gateway.callers)) == std::string::npos);
    push_store();
    CHECK(support::eventually(
        [&]()
        {
            return is_named(to_string(gateway.callers));
        }));
}

TEST_CASE_METHOD(gateway_fixture, "gateway_directory_names_this_host_until_it_drains", "[gateway]")
{
    auto const& gateway = *m_settings.gateway;
    auto const target = "/pistachiohub/resolve?name=a.example&region=svealand&zone=sve-a";
    CHECK(fetch(gateway.directory.port, target).find(to_string(gateway.callers)) !=
          std::string::npos);
    CHECK(has_status(fetch(gateway.directory.port, "/other"), "404"));
    CHECK(has_status(fetch(gateway.readiness.port, "/pistachiohub/ready"), "200"));
    m_context.begin_drain();
    CHECK(support::eventually(
        [&gateway]()
        {
            return has_status(fetch(gateway.readiness.port, "/pistachiohub/ready"), "503");
        }));
    CHECK(has_status(fetch(gateway.directory.port, target), "503"));
}

// A graceful shutdown must not break requests in flight.
TEST_CASE_METHOD(long_stop_fixture, "gateway_drain_finishes_open_requests", "[gateway][concurrent]")
{
    serve_once();
    auto caller = connect();
    caller.send(get("a"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    auto idle = connect();
    idle.send("GET /unknown HTTP/1.1\r\nHost: a.example\r\n\r\n");
    REQUIRE(has_status(idle.receive_message(), "404"));
    m_context.begin_drain();
    // Idle connections stay open, because a request may be in flight while the gateway closes them.
    idle.send("GET /unknown HTTP/1.1\r\nHost: a.example\r\n\r\n");
    CHECK(idle.receive_message().find("Connection: close\r\n") != std::string::npos);
    CHECK(idle.is_closed_by_peer());
    auto unused = connect();
    auto late = connect();
    late.send(get("b"));
    auto second = m_server.accept();
    REQUIRE_FALSE(second.receive_message().empty());
    second.send(answer_to("b", "late"));
    CHECK(late.receive_message().ends_with("late"));
    CHECK_FALSE(m_context.is_drained());
    server.send(answer_to("a", "bytes"));
    auto const answer = caller.receive_message();
    CHECK(has_status(answer, "200"));
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    CHECK(support::eventually(
        [this]()
        {
            return m_context.is_drained();
        }));
    CHECK(unused.is_closed_by_peer());
}

// Failure: during a planned stop under load, requests that had just been accepted were cut off. A
// caller with an old directory answer connects just before the listening socket closes, and its
// request arrives just after.
TEST_CASE_METHOD(long_stop_fixture,
                 "gateway_drain_serves_connections_accepted_at_its_end",
                 "[gateway][concurrent]")
{
    serve_once();
    m_context.begin_drain();
    // New connections are accepted for 2400 ms of the 4000 ms.
    std::this_thread::sleep_for(milliseconds(2320));
    auto fresh = connect();
    auto silent = connect();
    std::this_thread::sleep_for(milliseconds(130));
    fresh.send(get("a"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(answer_to("a", "bytes"));
    auto const answer = fresh.receive_message();
    CHECK(has_status(answer, "200"));
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    CHECK(silent.is_closed_by_peer());
}

// Failure: requests that came late in the grace period were passed on, and cut without an answer at
// its end. What the process cannot wait for is refused before it reaches a server.
TEST_CASE_METHOD(long_stop_fixture,
                 "gateway_drain_refuses_a_late_request_that_may_outlast_it",
                 "[gateway]")
{
    m_context.begin_drain();
    std::this_thread::sleep_for(milliseconds(2200));
    auto late = connect();
    late.send(post("a", "b"));
    auto const answer = late.receive_message();
    CHECK(has_status(answer, "503"));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    CHECK_FALSE(m_server.has_connection(0));
}

// A request of a route whose runs are short is served late in the stop, too. Its server is told to
// answer before the process ends, so that one that takes longer after all is not cut.
TEST_CASE_METHOD(long_stop_fixture,
                 "gateway_drain_shortens_the_deadline_of_a_late_request",
                 "[gateway]")
{
    auto caller = connect();
    caller.send(post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(answer_to("a", "bytes"));
    REQUIRE(has_status(caller.receive_message(), "200"));
    m_context.begin_drain();
    std::this_thread::sleep_for(milliseconds(2200));
    auto late = connect();
    late.send(post("c", "d"));
    auto second = m_server.accept();
    auto const request = second.receive_message();
    std::string const name = "X-Deadline-Ms: ";
    auto const position = request.find(name);
    REQUIRE(position != std::string::npos);
    // The process serves for 3600 of the 4000 ms.
    CHECK(std::stoi(request.substr(position + name.size())) < 1400);
    second.send(answer_to("c", "late"));
    CHECK(late.receive_message().ends_with("late"));
}

// Guards against requests that end with the process without an answer and in no settlement.
TEST_CASE_METHOD(gateway_fixture, "gateway_drain_answers_what_is_open_at_its_end", "[gateway]")
{
    auto caller = connect();
    caller.send(post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    m_context.begin_drain();
    CHECK(has_status(caller.receive_message(), "502"));
    CHECK(server.is_closed_by_peer());
    auto const settled = take_settled();
    REQUIRE(settled.size() == 1);
    CHECK(settled[0].result == outcome::unresolved);
}

// Guards against a grace period that a busy gateway counts from when it notices the signal: the
// kill would come while it still takes requests. The notice itself may find the ring full.
TEST_CASE_METHOD(busy_gateway_fixture,
                 "gateway_drain_ends_in_time_though_it_is_noticed_late",
                 "[gateway]")
{
    bool const is_ring_full = GENERATE(false, true);
    while (is_ring_full && m_events.try_push(events::store_contact{"other", true}))
    {
    }
    m_context.begin_drain();
    auto caller = connect();
    caller.send(post("a", "b"));
    std::this_thread::sleep_for(milliseconds(1000));
    start();
    CHECK(support::eventually(
        [this]()
        {
            return m_context.is_drained();
        },
        milliseconds(850)));
    // A notice that was lost is made good by the next sweep only.
    CHECK((is_ring_full || !m_server.has_connection(0)));
}

// A request that crosses the close of an unused connection stays unread: its caller sees that
// nothing was taken from it, and may send it again.
TEST_CASE_METHOD(gateway_fixture, "gateway_drain_closes_unused_connections", "[gateway]")
{
    auto unused = connect();
    unused.send(get("a"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(answer_to("a", "bytes"));
    REQUIRE(has_status(unused.receive_message(), "200"));
    m_context.begin_drain();
    CHECK(unused.is_closed_by_peer());
    CHECK(support::eventually(
        [this]()
        {
            return m_context.is_drained();
        }));
    CHECK_FALSE(m_server.has_connection(0));
}

// A server whose address is no IP address must not end the process, nor be connected to anywhere
// else.
TEST_CASE_METHOD(gateway_fixture,
                 "gateway_server_without_usable_address_is_unreachable",
                 "[gateway]")
{
    fleet::backend_server server;
    server.id = "i-1";
    server.service = "s";
    server.address = {"localhost", m_server.port()};
    server.failure_domain = "sve-a";
    server.slots = 8;
    server.started_at_ms = 5;
    push(events::store_update<fleet::backend_server>{true, 2, {{"i-1", 2, server}}});
    auto caller = connect();
    caller.send(post("a", "b"));
    CHECK(has_status(caller.receive_message(), "503"));
    CHECK_FALSE(m_server.has_connection(100));
    CHECK(has_status(fetch(m_settings.gateway->readiness.port, "/pistachiohub/ready"), "200"));
}

TEST_CASE_METHOD(gateway_fixture, "gateway_metrics_count_requests", "[gateway]")
{
    auto caller = connect();
    caller.send("GET /unknown HTTP/1.1\r\nHost: a.example\r\n\r\n");
    CHECK(has_status(caller.receive_message(), "404"));
    auto const text = fetch(m_settings.gateway->metrics.port, "/metrics");
    CHECK(text.find("pistachiohub_gateway_requests_total{outcome=\"no_route\"} 1") !=
          std::string::npos);
    CHECK(text.find("pistachiohub_gateway_request_seconds_bucket") != std::string::npos);
}

// An operator must be able to read a gateway's status without the key for changes.
TEST_CASE_METHOD(gateway_fixture,
                 "gateway_status_shows_configuration_and_servers",
                 "[gateway][concurrent]")
{
    auto const answer = fetch(m_settings.gateway->metrics.port, "/v1/status");
    REQUIRE(has_status(answer, "200"));
    auto const status = json::parse(answer.substr(answer.find("\r\n\r\n") + 4)).as_object();
    CHECK(status.at("name").as_string() == "host-1");
    CHECK(status.at("configuration_version").to_number<int>() == 1);
    CHECK(status.at("is_ready").as_bool());
    auto const& servers = status.at("backend_servers").as_array();
    REQUIRE(servers.size() == 1);
    CHECK(servers[0].at("name").as_string() == "i-1");
    CHECK(servers[0].at("state").as_string() == "live");
}

// The outcome must be queued for the ledger under the caller's request id by the time the caller
// has its answer, so that the caller can query it.
TEST_CASE_METHOD(gateway_fixture, "gateway_outcomes_are_settled_by_id", "[gateway][concurrent]")
{
    auto caller = connect();
    caller.send(post("a", "the body"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(answer_to("a", "bytes"));
    REQUIRE(has_status(caller.receive_message(), "200"));
    auto const settled = take_settled();
    REQUIRE(settled.size() == 1);
    CHECK(identity::to_string(settled[0].id) == "host-1/1/0/a");
    CHECK(settled[0].service == "s");
    CHECK(settled[0].result == outcome::ran);
}

// Failure: a caller whose id is no text left, and the settlement that listed the id could not be
// written any more.
TEST_CASE_METHOD(gateway_fixture, "gateway_id_that_is_no_text_is_settled_as_text", "[gateway]")
{
    auto caller = connect();
    caller.send(get("k\xf6p-0"));
    auto server = m_server.accept();
    REQUIRE(server.receive_message().find("X-Attempt-Id: k\xf6p-0\r\n") != std::string::npos);
    caller.close();
    std::vector<events::settle_request> settled;
    CHECK(support::eventually(
        [&]()
        {
            settled = take_settled();
            return !settled.empty();
        }));
    REQUIRE(settled.size() == 1);
    CHECK(settled[0].id.unique == "k%F6p-0");
    CHECK(settled[0].result == outcome::unresolved);
}

// Guards against a limit in the answers of a server that the gateway does not keep. The rule allows
// one and a half times the limit and five requests in four seconds, from half a second after the
// first such answer was passed on.
TEST_CASE_METHOD(gateway_fixture, "gateway_limit_of_a_server_is_kept", "[gateway]")
{
    constexpr double limit = 1.5;
    constexpr auto interval = milliseconds(50);
    constexpr int untold_requests = 10;
    constexpr auto counted_time = std::chrono::seconds(4);
    constexpr int allowed = 14;
    std::atomic<int> reached = 0;
    std::atomic<bool> is_done = false;
    std::thread server(
        [this, &reached, &is_done]()
        {
            auto connection = m_server.accept();
            while (!is_done)
            {
                auto const request = connection.receive_message();
                if (request.empty())
                    return;
                ++reached;
                auto const id = request.substr(7, request.find(' ', 7) - 7);
                connection.send(
                    answer_to(id, "x", "Server-Limit: " + std::to_string(limit) + "\r\n"));
            }
        });
    auto caller = connect();
    int number = 0;
    auto const call = [&]()
    {
        caller.send(get(std::to_string(++number)));
        static_cast<void>(caller.receive_message());
        std::this_thread::sleep_for(interval);
    };
    while (number < untold_requests)
        call();
    int const reached_untold = reached;
    for (auto const end = kernel::monotonic_now() + counted_time; kernel::monotonic_now() < end;)
        call();
    is_done = true;
    m_running.reset();
    server.join();
    CHECK(reached_untold > 0);
    CHECK(reached - reached_untold <= allowed);
}

// Guards against requests to a server whose answers say that it leaves. The rule allows them for
// some time after the first such answer; the next request already has no server to go to.
TEST_CASE_METHOD(gateway_fixture, "gateway_server_that_says_it_leaves_gets_no_request", "[gateway]")
{
    auto caller = connect();
    caller.send(get("1"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(answer_to("1", "x", "Server-Leaving: 1\r\n"));
    CHECK(caller.receive_message().starts_with("HTTP/1.1 200 "));
    caller.send(get("2"));
    CHECK(caller.receive_message().starts_with("HTTP/1.1 503 "));
}

// Guards against requests to a server that turned one away and asked for a pause. Callers are told
// to come back when it is over.
TEST_CASE_METHOD(gateway_fixture, "gateway_server_that_wants_a_pause_gets_no_request", "[gateway]")
{
    auto caller = connect();
    caller.send(get("1"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send("HTTP/1.1 503 Busy\r\nX-Attempt-Id: 1\r\nX-Not-Executed: 1\r\nRetry-After: 5\r\n"
                "Content-Length: 0\r\n\r\n");
    CHECK(caller.receive_message().starts_with("HTTP/1.1 503 "));
    // Past the time for which any server that failed is avoided.
    std::this_thread::sleep_for(milliseconds(200));
    caller.send(get("2"));
    auto const refused = caller.receive_message();
    CHECK(refused.starts_with("HTTP/1.1 503 "));
    auto const value = refused.find("Retry-After: ");
    REQUIRE(value != std::string::npos);
    constexpr std::size_t name_length = 13;
    CHECK(std::stod(refused.substr(value + name_length)) > 4);
}

} // namespace pistachiohub
