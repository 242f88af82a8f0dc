// A backend server runs a request and answers with a status by which callers learn that it has not
// run. Only the header for refusals, or status 421, proves that.

#include "plugins/gateway/server_answer.hpp"
#include "tests/gateway/dispatcher_fixture.hpp"
#include "tests/gateway/gateway_fixture.hpp"

namespace pistachiohub
{

namespace
{

using gateway::attempt_result;
using gateway_test::dispatcher_fixture;
using gateway_test::gateway_fixture;
using gateway_test::has_status;
using routing::request_kind;

std::string failure_head(std::string const& status, std::string const& more)
{
    return "HTTP/1.1 " + status + " Failed\r\nX-Attempt-Id: a\r\nX-Response-Signature: sig-a\r\n" +
           more;
}

bool has(std::string const& message, std::string const& part)
{
    return message.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("answer_use_follows_kind_and_status", "[gateway]")
{
    auto const once = request_kind::at_most_once;
    auto const repeatable = request_kind::idempotent;
    for (unsigned const status : {200U, 302U, 400U, 404U, 500U, 502U, 504U})
    {
        INFO("status " << status);
        CHECK(gateway::use_of_answer(once, status).is_passed_on);
        CHECK_FALSE(gateway::use_of_answer(once, status).is_retried);
        CHECK(gateway::use_of_answer(repeatable, status).is_passed_on);
        CHECK(gateway::use_of_answer(repeatable, status).is_retried == (status >= 500));
    }
    for (unsigned const status : {408U, 421U, 429U, 503U})
    {
        INFO("status " << status);
        CHECK_FALSE(gateway::use_of_answer(once, status).is_passed_on);
        CHECK_FALSE(gateway::use_of_answer(once, status).is_retried);
        CHECK_FALSE(gateway::use_of_answer(repeatable, status).is_passed_on);
        CHECK(gateway::use_of_answer(repeatable, status).is_retried);
    }
}

// Failure: the caller of a request that ran was told that it never will, and sent it again.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_untrue_promise_to_request_that_runs_once_is_replaced",
                 "[gateway]")
{
    add_server("i-1");
    add_server("i-2");
    auto const request = begin("/o/1");
    end(request, attempt_result::answered, GENERATE(408U, 429U, 503U));
    CHECK(m_sent.size() == 1);
    CHECK(status_of(request) == 502);
    CHECK(m_replies[request->number].body == R"({"reason":"unproven_refusal"})");
    CHECK(m_replies[request->number].retry_after.empty());
    CHECK(m_settled.find(request->id)->second == outcome::ran);
    CHECK(m_metrics
              .find_counter("pistachiohub_gateway_refusals_total", {"reason", "unproven_refusal"})
              .value() == 1);
}

// The caller reads the status in the same way, but another server may still serve him.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_untrue_promise_to_repeatable_request_is_retried_and_replaced",
                 "[gateway]")
{
    add_server("i-1");
    add_server("i-2");
    auto const status = GENERATE(408U, 429U, 503U);
    auto const served = begin("/i/1");
    end(served, attempt_result::answered, status);
    REQUIRE(m_sent.size() == 2);
    end(served, attempt_result::answered);
    CHECK(status_of(served) == 200);
    auto const failed = begin("/i/2");
    end(failed, attempt_result::answered, status);
    end(failed, attempt_result::answered, status);
    CHECK(m_sent.size() == 4);
    CHECK(status_of(failed) == 502);
    CHECK(m_settled.find(failed->id)->second == outcome::ran);
}

// Failure: the same for each form of the answer. Its signature belongs to another status.
TEST_CASE_METHOD(gateway_fixture, "gateway_untrue_promise_is_replaced_in_each_form", "[gateway]")
{
    auto const status = GENERATE("408", "429", "503");
    // The last one is too large to be collected.
    auto const framing =
        GENERATE(std::string("Content-Length: 2\r\n\r\nno"),
                 std::string("Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"),
                 std::string("Retry-After: 1\r\nContent-Length: 2\r\n\r\nno"),
                 "Content-Length: 80000\r\n\r\n" + std::string(80000, 'n'));
    INFO(status << " with " << framing.substr(0, 40));
    auto caller = connect();
    caller.send(gateway_test::post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(failure_head(status, framing));
    auto const answer = caller.receive_message();
    CHECK(has_status(answer, "502"));
    CHECK_FALSE(has(answer, "X-Response-Signature"));
    CHECK_FALSE(has(answer, "X-Attempt-Id"));
    CHECK_FALSE(has(answer, "Retry-After"));
    CHECK(answer.ends_with(R"({"reason":"unproven_refusal"})"));
    auto const settled = take_settled();
    REQUIRE(settled.size() == 1);
    CHECK(settled[0].result == outcome::ran);
}

// Failure: the same for an answer that overtakes the request's body.
TEST_CASE_METHOD(gateway_fixture,
                 "gateway_untrue_promise_before_the_body_was_read_is_replaced",
                 "[gateway]")
{
    auto caller = connect();
    caller.send(gateway_test::post("a", std::string(90000, 'b')));
    auto server = m_server.accept();
    server.send(failure_head("503", "Content-Length: 2\r\n\r\nno"));
    CHECK(has_status(caller.receive_message(), "502"));
}

// What the answer says of its server holds, whatever the caller gets.
TEST_CASE_METHOD(gateway_fixture, "gateway_untrue_promise_still_pauses_its_server", "[gateway]")
{
    auto caller = connect();
    caller.send(gateway_test::post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(failure_head("503", "Retry-After: 5\r\nContent-Length: 0\r\n\r\n"));
    CHECK(has_status(caller.receive_message(), "502"));
    caller.send(gateway_test::post("c", "d"));
    auto const refused = caller.receive_message();
    CHECK(has_status(refused, "503"));
    CHECK(has(refused, "Retry-After: "));
}

// A proof keeps its meaning: nothing ran, and the caller may be told so.
TEST_CASE_METHOD(gateway_fixture, "gateway_proven_refusal_is_told_as_not_run", "[gateway]")
{
    auto const status = GENERATE("429", "503");
    auto caller = connect();
    caller.send(gateway_test::post("a", "b"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(failure_head(status, "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
    CHECK(has_status(caller.receive_message(), "503"));
    auto const settled = take_settled();
    REQUIRE(settled.size() == 1);
    CHECK(settled[0].result == outcome::not_run);
}

} // namespace pistachiohub
