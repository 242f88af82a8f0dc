#include "plugins/gateway/message_text.hpp"
#include "plugins/gateway/refusal.hpp"
#include "plugins/gateway/server_answer.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

using gateway::message_meaning;

class message_fixture
{
protected:
    interface::message_headers const m_names = interface::find_interface("platform").headers;
    gateway::caller_request m_request{
        "POST",
        "/x/y?q=1",
        {{"Host", "a.example"}, {"X-Attempt-Id", "id-1"}, {"X-Deadline-Ms", "3000"}},
        "body"};
    gateway::forwarded_customer m_customer;
    gateway::answer m_answer{
        200, "OK", {{"X-Attempt-Id", "id-1"}, {"X-Response-Signature", "sig"}}, "bytes"};

    [[nodiscard]] std::string request_text() const
    {
        return gateway::serialize_request(
            m_request, m_names, "i-1", std::chrono::milliseconds(1234), m_customer);
    }

    [[nodiscard]] message_meaning meaning() const
    {
        return gateway::classify_message(m_answer, m_names, "id-1");
    }
};

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// The key must reach no backend server, and the name must be the gateway's, whatever a caller
// sends.
TEST_CASE_METHOD(message_fixture,
                 "request_text_replaces_key_and_customer_of_the_caller",
                 "[gateway][customer]")
{
    m_customer = {true, "cuka620"};
    for (auto const* const name : {"Authorization", "authorization", "aUTHORIZATION"})
        m_request.headers.push_back({name, "Bearer 2rry"});
    for (auto const* const name : {"X-Tenant", "x-tenant", "X-TENANT"})
        m_request.headers.push_back({name, "forged"});
    // It must not remove the header that the gateway sets.
    m_request.headers.push_back({"Connection", "X-Tenant"});
    auto const text = request_text();
    CHECK_FALSE(contains(text, "2rry"));
    CHECK_FALSE(contains(text, "forged"));
    auto const position = text.find("\r\nX-Tenant: cuka620\r\n");
    REQUIRE(position != std::string::npos);
    CHECK(text.find("enant", position + 8) == std::string::npos);
    m_customer.name = {};
    CHECK_FALSE(contains(request_text(), "enant"));
    CHECK_FALSE(contains(request_text(), "2rry"));
}

TEST_CASE_METHOD(message_fixture,
                 "request_text_without_customers_keeps_the_headers_of_the_caller",
                 "[gateway][customer]")
{
    m_request.headers.push_back({"Authorization", "Bearer 2rry"});
    m_request.headers.push_back({"X-Tenant", "own"});
    CHECK(contains(request_text(), "\r\nAuthorization: Bearer 2rry\r\n"));
    CHECK(contains(request_text(), "\r\nX-Tenant: own\r\n"));
}

TEST_CASE_METHOD(message_fixture, "request_text_keeps_method_target_and_body", "[gateway]")
{
    auto const text = request_text();
    CHECK(text.starts_with("POST /x/y?q=1 HTTP/1.1\r\n"));
    CHECK(text.ends_with("\r\n\r\nbody"));
    CHECK(contains(text, "\r\nX-Attempt-Id: id-1\r\n"));
    CHECK(contains(text, "\r\nX-Deadline-Ms: 1234\r\n"));
    CHECK(contains(text, "\r\nX-Target-Instance: i-1\r\n"));
    CHECK(contains(text, "\r\nContent-Length: 4\r\n"));
    CHECK_FALSE(contains(text, "3000"));
}

// Otherwise a caller could choose the backend server itself, or send two conflicting lengths, of
// which the backend server might use the wrong one.
TEST_CASE_METHOD(message_fixture,
                 "request_text_gateway_headers_replace_those_of_the_caller",
                 "[gateway]")
{
    m_request.headers.push_back({"x-target-instance", "i-evil"});
    m_request.headers.push_back({"content-length", "4"});
    m_request.headers.push_back({"Connection", "keep-alive, X-Private"});
    m_request.headers.push_back({"X-Private", "1"});
    m_request.headers.push_back({"Transfer-Encoding", "chunked"});
    auto const text = request_text();
    CHECK_FALSE(contains(text, "i-evil"));
    CHECK_FALSE(contains(text, "X-Private"));
    CHECK_FALSE(contains(text, "Transfer-Encoding"));
    CHECK_FALSE(contains(text, "content-length"));
}

TEST_CASE_METHOD(message_fixture, "request_text_without_body_has_no_length", "[gateway]")
{
    m_request.method = "GET";
    m_request.body.clear();
    CHECK_FALSE(contains(request_text(), "Content-Length"));
    m_request.headers.push_back({"Content-Length", "0"});
    CHECK(contains(request_text(), "Content-Length: 0\r\n"));
}

TEST_CASE_METHOD(message_fixture, "answer_text_has_length_of_the_body", "[gateway]")
{
    auto const text = gateway::serialize_answer(m_answer, false, false);
    CHECK(text.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(contains(text, "X-Response-Signature: sig\r\n"));
    CHECK(contains(text, "Content-Length: 5\r\n"));
    CHECK(text.ends_with("\r\n\r\nbytes"));
    CHECK(contains(gateway::serialize_answer(m_answer, false, true), "Connection: close\r\n"));
}

// The caller would parse a body after the answer to HEAD as the next answer.
TEST_CASE_METHOD(message_fixture, "answer_text_to_head_declares_length_without_body", "[gateway]")
{
    m_answer.headers.push_back({"Content-Length", "77"});
    m_answer.body.clear();
    auto const text = gateway::serialize_answer(m_answer, true, false);
    CHECK(contains(text, "Content-Length: 77\r\n"));
    CHECK(text.ends_with("\r\n\r\n"));
}

TEST_CASE_METHOD(message_fixture, "server_answer_with_id_and_signature_is_the_answer", "[gateway]")
{
    CHECK(meaning() == message_meaning::answer);
}

TEST_CASE_METHOD(message_fixture, "server_answer_of_another_request_is_not_delivered", "[gateway]")
{
    m_answer.headers[0].value = "id-0";
    CHECK(meaning() == message_meaning::other_request);
}

TEST_CASE_METHOD(message_fixture, "server_answer_without_signature_is_unproven", "[gateway]")
{
    m_answer.headers.pop_back();
    CHECK(meaning() == message_meaning::unproven);
    m_answer.status = 500;
    CHECK(meaning() == message_meaning::answer);
    m_answer.headers.clear();
    CHECK(meaning() == message_meaning::unproven);
}

// Only the not-started header and status 421 prove that an at-most-once request may be sent again;
// a bare 503 proves nothing.
TEST_CASE_METHOD(message_fixture, "server_answer_not_started_needs_header_or_421", "[gateway]")
{
    m_answer = {503, "Busy", {}, ""};
    CHECK(meaning() == message_meaning::unproven);
    m_answer.headers.push_back({"X-Not-Executed", "1"});
    CHECK(meaning() == message_meaning::not_started);
    m_answer = {421, "Misdirected Request", {{"X-Instance-Id", "i-2"}}, ""};
    CHECK(meaning() == message_meaning::not_started);
}

TEST_CASE("load_header_is_parsed_or_ignored", "[gateway]")
{
    CHECK(gateway::parse_load("3,2,8") == gateway::server_load{3, 2, 8, {}});
    CHECK_FALSE(gateway::parse_load(""));
    CHECK_FALSE(gateway::parse_load("3"));
    CHECK_FALSE(gateway::parse_load("x,2,8"));
    CHECK_FALSE(gateway::parse_load("-1,2,8"));
}

// A 429 or 503 guarantees that a request did not run; other refusals give no such guarantee.
TEST_CASE("refusal_status_503_only_for_requests_not_run", "[gateway]")
{
    using gateway::refusal;
    CHECK(gateway::make_refusal(refusal::no_room, std::nullopt).status == 503);
    CHECK(gateway::make_refusal(refusal::broken_off, std::nullopt).status == 502);
    CHECK(gateway::make_refusal(refusal::timed_out, std::nullopt).status == 504);
    auto const refused = gateway::make_refusal(refusal::no_room, std::chrono::milliseconds(250));
    CHECK(gateway::find_header_value(refused.headers, "retry-after") == "0.250");
}

TEST_CASE("cookie_value_is_found_by_its_whole_name", "[gateway]")
{
    CHECK(gateway::find_cookie("a=1; X-Affinity-Key=17; b=2", "X-Affinity-Key") == "17");
    CHECK(gateway::find_cookie("XX-Affinity-Key=17", "X-Affinity-Key").empty());
    CHECK(gateway::find_cookie("", "X-Affinity-Key").empty());
}

} // namespace pistachiohub
