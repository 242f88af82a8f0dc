#include "tests/gateway/gateway_fixture.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace pistachiohub
{

namespace
{

using namespace gateway_test;

/// A gateway under a configuration with the customer cuka620, whose key is 2rry, and the exempt
/// route `/e/`.
class customer_wire_fixture : public gateway_fixture
{
protected:
    customer_wire_fixture()
        : gateway_fixture(true, short_grace, false)
    {
        publish(2, {"2rry"});
    }

    void publish(std::uint64_t version, std::vector<std::string> keys)
    {
        routing::routing_document document;
        document.version = version;
        add_route(document, "/i/", routing::request_kind::idempotent);
        add_route(document, "/o/", routing::request_kind::at_most_once);
        add_route(document, "/e/", routing::request_kind::idempotent);
        document.routes.back().is_key_exempt = true;
        routing::customer customer;
        customer.name = "cuka620";
        customer.keys = std::move(keys);
        document.customers = {customer};
        push(events::store_update<routing::routing_document>{
            true, version, {{"main", version, document}}});
    }

    [[nodiscard]] std::string status_of_get(std::string const& id, std::string const& headers) const
    {
        auto caller = connect();
        caller.send(get(id, headers));
        return caller.receive_message().substr(0, 12);
    }
};

std::size_t count(std::string const& text, std::string const& part)
{
    std::size_t found = 0;
    for (auto position = text.find(part); position != std::string::npos;
         position = text.find(part, position + part.size()))
        ++found;
    return found;
}

/// Checks what a backend server got of a request with the key 2rry.
void check_forwarded(std::string const& received, std::string const& customer = "cuka620")
{
    CHECK_FALSE(received.empty());
    CHECK(received.find("2rry") == std::string::npos);
    CHECK(received.find("uthorization") == std::string::npos);
    CHECK(received.find("UTHORIZATION") == std::string::npos);
    CHECK(received.find("forged") == std::string::npos);
    CHECK(count(received, "\r\nX-Tenant: " + customer + "\r\n") == (customer.empty() ? 0 : 1));
}

} // namespace

TEST_CASE_METHOD(customer_wire_fixture,
                 "gateway_forwards_the_customer_and_never_the_key",
                 "[gateway][customer][concurrent]")
{
    start();
    auto caller = connect();
    auto const* const own = "x-tenant: forged\r\nX-TENANT: forged\r\n";
    caller.send(get("r1", std::string("Authorization: Bearer 2rry\r\n") + own));
    auto server = m_server.accept();
    check_forwarded(server.receive_message());
    server.send(answer_to("r1", "bytes"));
    CHECK(has_status(caller.receive_message(), "200"));
    caller.send(get("r2", std::string("aUTHORIZATION:bearer  2rry  \r\n") + own));
    check_forwarded(server.receive_message());
    server.send(answer_to("r2", "bytes"));
    CHECK(has_status(caller.receive_message(), "200"));
}

// Each request of a connection is identified by its own key only.
TEST_CASE_METHOD(customer_wire_fixture,
                 "gateway_pipelined_requests_are_identified_one_by_one",
                 "[gateway][customer][concurrent]")
{
    start();
    auto caller = connect();
    caller.send(get("p1", "AUTHORIZATION: Bearer 2rry\r\n") + get("p2") +
                get("p3", "Authorization: Bearer other\r\nX-Tenant: cuka620\r\n") +
                get("p4", "Authorization: Bearer 2rry\r\nauthorization: Bearer 2rry\r\n") +
                get("p5", "authorization: Bearer 2rry\r\n"));
    auto first = m_server.accept();
    auto const first_text = first.receive_message();
    auto second = m_server.accept();
    auto const second_text = second.receive_message();
    for (auto const& text : {first_text, second_text})
        check_forwarded(text);
    bool const is_in_order = first_text.find("/i/p1") != std::string::npos;
    first.send(answer_to(is_in_order ? "p1" : "p5", "bytes"));
    second.send(answer_to(is_in_order ? "p5" : "p1", "bytes"));
    CHECK(has_status(caller.receive_message(), "200"));
    for (int number = 2; number <= 4; ++number)
        CHECK(has_status(caller.receive_message(), "401"));
    CHECK(has_status(caller.receive_message(), "200"));
    CHECK_FALSE(m_server.has_connection(50));
}

TEST_CASE_METHOD(customer_wire_fixture,
                 "gateway_retried_request_keeps_its_customer_and_hides_its_key",
                 "[gateway][customer][concurrent]")
{
    support::raw_listener other;
    fleet::backend_server second;
    second.id = "i-2";
    second.service = "s";
    second.address = {"127.0.0.1", other.port()};
    second.failure_domain = "sve-a";
    second.slots = 8;
    push(events::store_update<fleet::backend_server>{false, 2, {{second.id, 2, second}}});
    start();
    auto caller = connect();
    caller.send(get("r1", "Authorization: Bearer 2rry\r\nX-Tenant: forged\r\n"));
    bool const is_first = m_server.has_connection(2000);
    auto refusing = is_first ? m_server.accept() : other.accept();
    check_forwarded(refusing.receive_message());
    refusing.send("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\n"
                  "Content-Length: 0\r\n\r\n");
    auto serving = is_first ? other.accept() : m_server.accept();
    check_forwarded(serving.receive_message());
    serving.send(answer_to("r1", "bytes"));
    CHECK(has_status(caller.receive_message(), "200"));
}

TEST_CASE_METHOD(customer_wire_fixture,
                 "gateway_exempt_route_sets_the_customer_only_for_a_known_key",
                 "[gateway][customer][concurrent]")
{
    start();
    auto caller = connect();
    auto const exempt = [](std::string const& id, std::string const& more)
    {
        auto text = get(id, more);
        return text.replace(text.find("/i/"), 3, "/e/");
    };
    caller.send(exempt("e1", "X-Tenant: forged\r\n"));
    auto server = m_server.accept();
    check_forwarded(server.receive_message(), "");
    server.send(answer_to("e1", "bytes"));
    CHECK(has_status(caller.receive_message(), "200"));
    caller.send(exempt("e2", "Authorization: Bearer unknown\r\nX-Tenant: forged\r\n"));
    auto const unknown = server.receive_message();
    check_forwarded(unknown, "");
    CHECK(unknown.find("unknown") == std::string::npos);
    server.send(answer_to("e2", "bytes"));
    CHECK(has_status(caller.receive_message(), "200"));
    caller.send(exempt("e3", "Authorization: Bearer 2rry\r\nX-Tenant: forged\r\n"));
    check_forwarded(server.receive_message());
    server.send(answer_to("e3", "bytes"));
    CHECK(has_status(caller.receive_message(), "200"));
}

// Trailers end up among the headers. They must not reach a backend server as such either, and one
// that holds another key must not replace the one of the head.
TEST_CASE_METHOD(customer_wire_fixture,
                 "gateway_trailers_name_neither_key_nor_customer",
                 "[gateway][customer][concurrent]")
{
    start();
    auto caller = connect();
    auto const chunked = [](std::string const& id, std::string const& trailers)
    {
        return "POST /o/" + id + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
               "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer 2rry\r\n"
               "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" +
               trailers + "\r\n";
    };
    caller.send(chunked("t1", "X-Tenant: forged\r\n"));
    auto server = m_server.accept();
    check_forwarded(server.receive_message());
    server.send(answer_to("t1", "bytes"));
    CHECK(has_status(caller.receive_message(), "200"));
    // A key among the trailers identifies nobody, and does not reach the server either.
    caller.send(chunked("t2", "Authorization: Bearer forged\r\n"));
    auto const forwarded = server.receive_message();
    check_forwarded(forwarded);
    CHECK(forwarded.find("forged") == std::string::npos);
    server.send(answer_to("t2", "bytes"));
    CHECK(has_status(caller.receive_message(), "200"));
    // Without a key in the header a key among the trailers is none.
    auto keyless = chunked("t3", "Authorization: Bearer 2rry\r\n");
    std::string const key_line = "Authorization: Bearer 2rry\r\nTransfer";
    keyless.replace(keyless.find(key_line), key_line.size(), "Transfer");
    caller.send(keyless);
    CHECK(has_status(caller.receive_message(), "401"));
}

// A name that is not the header's for one reader could be for the next.
TEST_CASE_METHOD(customer_wire_fixture,
                 "gateway_malformed_customer_header_is_not_forwarded",
                 "[gateway][customer][concurrent]")
{
    start();
    // A line that begins with a space continues the one before: here the key.
    auto const [header, status] =
        GENERATE(table<std::string, std::string>({{"X-Tenant : forged\r\n", "400"},
                                                  {"X-Tenant\t: forged\r\n", "400"},
                                                  {" X-Tenant: forged\r\n", "401"},
                                                  {"X-Own: 1\r\n X-Tenant: forged\r\n", "200"},
                                                  {"X-Tenant:\r\n forged\r\n", "200"}}));
    auto caller = connect();
    caller.send(get("r1", "Authorization: Bearer 2rry\r\n" + header));
    if (status != "200")
    {
        CHECK(has_status(caller.receive_message(), status));
        CHECK_FALSE(m_server.has_connection(0));
        return;
    }
    auto server = m_server.accept();
    auto const received = server.receive_message();
    CHECK(received.find("\r\nX-Tenant: cuka620\r\n") != std::string::npos);
    CHECK(count(received, "\r\nX-Tenant") == 1);
    CHECK(received.find("2rry") == std::string::npos);
    server.send(answer_to("r1", "bytes"));
    CHECK(has_status(caller.receive_message(), "200"));
}

TEST_CASE_METHOD(customer_wire_fixture,
                 "gateway_removed_key_is_401_and_the_next_one_is_served",
                 "[gateway][customer][concurrent]")
{
    publish(3, {"rbn4"});
    start();
    CHECK(status_of_get("r1", "Authorization: Bearer 2rry\r\n") == "HTTP/1.1 401");
    auto caller = connect();
    caller.send(get("r2", "Authorization: Bearer rbn4\r\n"));
    auto server = m_server.accept();
    check_forwarded(server.receive_message());
    server.send(answer_to("r2", "bytes"));
    CHECK(has_status(caller.receive_message(), "200"));
}

TEST_CASE_METHOD(gateway_fixture,
                 "gateway_without_customers_forwards_key_and_name",
                 "[gateway][customer][concurrent]")
{
    auto caller = connect();
    caller.send(get("r1", "Authorization: Bearer 2rry\r\nX-Tenant: own\r\n"));
    auto server = m_server.accept();
    auto const received = server.receive_message();
    CHECK(received.find("\r\nAuthorization: Bearer 2rry\r\n") != std::string::npos);
    CHECK(received.find("\r\nX-Tenant: own\r\n") != std::string::npos);
    server.send(answer_to("r1", "bytes"));
    CHECK(has_status(caller.receive_message(), "200"));
}

} // namespace pistachiohub
