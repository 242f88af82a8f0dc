#include "libraries/caller/caller.hpp"
#include "libraries/caller/connection.hpp"
#include "tests/caller/fake_entry_host.hpp"
#include "tests/support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <future>
#include <utility>

namespace pistachiohub
{

namespace
{

using standins::http_request;
using standins::http_response;
using tests::fake_entry_host;

// Nothing listens on port 1 of 127.0.0.1.
constexpr std::uint16_t closed_port = 1;
constexpr auto deadline = std::chrono::milliseconds(2000);
// Longer than a test waits for the caller to close its connection.
constexpr auto max_wait = std::chrono::milliseconds(5000);

http_response
tell(http_request const& request, unsigned status, std::string const& told, std::string const& why)
{
    return {status,
            told == "ran" ? "answer" : R"({"outcome":")" + told + "\"}",
            {{"Pistachiohub-Request-Id", request.header("pistachiohub-request-id")},
             {"Pistachiohub-Outcome", told},
             {"Pistachiohub-Reason", why}},
            false};
}

http_response tell_ran(http_request const& request, std::size_t)
{
    return tell(request, 200, "ran", "ok");
}

http_response lose(http_request const&, std::size_t)
{
    return {200, "", {}, true};
}

std::string host_text(std::string const& name, std::uint16_t port)
{
    return R"({"name":")" + name + R"(","address":"127.0.0.1","port":)" + std::to_string(port) +
           R"(,"incarnation":7,"epoch":3,"failure_domain":"fd-1"})";
}

std::string lookup_text(std::string const& hosts, unsigned ttl_ms = 2000)
{
    return R"({"service":"lock","kind":"at_most_once","configuration_version":1,"ttl_ms":)" +
           std::to_string(ttl_ms) + R"(,"entry_hosts":[)" + hosts + "]}";
}

caller::caller make_caller(std::uint16_t port)
{
    caller::caller_options options;
    options.sources = {{"127.0.0.1", port}};
    options.seed = 1;
    return caller::caller(options);
}

std::string sent_id(http_request const& request)
{
    return request.header("pistachiohub-request-id");
}

std::string sent_number(http_request const& request)
{
    return request.header("pistachiohub-transmission");
}

} // namespace

TEST_CASE("caller_answered_call_uses_id_of_lookup_and_cache", "[caller][concurrent]")
{
    fake_entry_host host(tell_ran);
    host.set_lookup(lookup_text(host_text("a", host.port())));
    auto own = make_caller(host.port());
    auto const result = own.call("lock", "body", deadline);
    CHECK(result.result == outcome::ran);
    CHECK(result.answer == "answer");
    REQUIRE(result.ids.size() == 1);
    CHECK(result.ids[0].id.owner == "a");
    CHECK(result.ids[0].id.incarnation == 7);
    CHECK(result.ids[0].id.epoch == 3);
    CHECK(own.call("lock", "body", deadline).ids[0].id != result.ids[0].id);
    CHECK(host.lookups() == 1);
    CHECK(sent_number(host.requests()[0]) == "1");
}

// A new id after a lost connection could run the request twice.
TEST_CASE("caller_lost_connection_resends_same_id_with_higher_number", "[caller][concurrent]")
{
    fake_entry_host host(
        [](http_request const& request, std::size_t number)
        {
            return number == 0 ? lose(request, number) : tell_ran(request, number);
        });
    host.set_lookup(lookup_text(host_text("a", host.port())));
    auto const result = make_caller(host.port()).call("lock", "body", deadline);
    CHECK(result.result == outcome::ran);
    auto const requests = host.requests();
    REQUIRE(requests.size() == 2);
    CHECK(sent_id(requests[0]) == sent_id(requests[1]));
    CHECK(sent_number(requests[0]) == "1");
    CHECK(sent_number(requests[1]) == "2");
    CHECK(result.ids.size() == 1);
}

TEST_CASE("caller_silent_owner_resends_to_other_host_and_reports_unresolved",
          "[caller][concurrent]")
{
    fake_entry_host owner(lose);
    fake_entry_host other(
        [](http_request const& request, std::size_t)
        {
            return tell(request, 504, "unresolved", "owner_unreachable");
        });
    other.set_lookup(
        lookup_text(host_text("a", owner.port()) + ',' + host_text("b", other.port())));
    auto const result = make_caller(other.port()).call("lock", "body", deadline);
    CHECK(result.result == outcome::unresolved);
    CHECK(result.cause == reason::owner_unreachable);
    REQUIRE(result.ids.size() == 1);
    REQUIRE(other.requests().size() == 1);
    CHECK(sent_id(other.requests()[0]) == sent_id(owner.requests()[0]));
    CHECK(sent_number(other.requests()[0]) == "3");
}

// An id that was never sent must not be sent elsewhere: its owner could still start it.
TEST_CASE("caller_refused_connection_takes_new_id_at_next_host", "[caller][concurrent]")
{
    fake_entry_host host(tell_ran);
    host.set_lookup(lookup_text(host_text("a", closed_port) + ',' + host_text("b", host.port())));
    auto const result = make_caller(host.port()).call("lock", "body", deadline);
    CHECK(result.result == outcome::ran);
    REQUIRE(result.ids.size() == 2);
    CHECK(result.ids[0].is_never_sent);
    CHECK(result.ids[0].id.owner == "a");
    CHECK(result.ids[1].id.owner == "b");
    CHECK(host.requests().size() == 1);
}

TEST_CASE("caller_refusal_takes_new_ids_up_to_the_bound", "[caller][concurrent]")
{
    fake_entry_host host(
        [](http_request const& request, std::size_t)
        {
            return tell(request, 503, "not_run", "no_backend_server");
        });
    host.set_lookup(lookup_text(host_text("a", host.port())));
    auto const result = make_caller(host.port()).call("lock", "body", deadline);
    CHECK(result.result == outcome::not_run);
    CHECK(result.cause == reason::no_backend_server);
    auto const requests = host.requests();
    REQUIRE(requests.size() == 3);
    CHECK(sent_id(requests[0]) != sent_id(requests[1]));
    CHECK(sent_id(requests[1]) != sent_id(requests[2]));
    CHECK(sent_number(requests[2]) == "1");
}

TEST_CASE("caller_permanent_refusal_is_not_retried", "[caller][concurrent]")
{
    fake_entry_host host(
        [](http_request const& request, std::size_t)
        {
            return tell(request, 503, "not_run", "quarantined");
        });
    host.set_lookup(lookup_text(host_text("a", host.port())));
    CHECK(make_caller(host.port()).call("lock", "body", deadline).ids.size() == 1);
}

TEST_CASE("caller_refusal_with_fresh_lookup_follows_it", "[caller][concurrent]")
{
    fake_entry_host next(tell_ran);
    auto const fresh = lookup_text(host_text("b", next.port()));
    fake_entry_host host(
        [fresh](http_request const& request, std::size_t)
        {
            auto response = tell(request, 503, "not_run", "draining");
            response.body = R"({"outcome":"not_run","lookup":)" + fresh + '}';
            return response;
        });
    host.set_lookup(lookup_text(host_text("a", host.port())));
    auto const result = make_caller(host.port()).call("lock", "body", deadline);
    CHECK(result.result == outcome::ran);
    REQUIRE(result.ids.size() == 2);
    CHECK(result.ids[1].id.owner == "b");
    CHECK(host.lookups() == 1);
}

// Accepting the answer to another id would break I3.
TEST_CASE("caller_answer_with_other_id_is_not_accepted", "[caller][concurrent]")
{
    fake_entry_host host(
        [](http_request const& request, std::size_t number)
        {
            auto response = tell_ran(request, number);
            if (number == 0)
                response.headers[0].second = "a/7/3/other";
            return response;
        });
    host.set_lookup(lookup_text(host_text("a", host.port())));
    auto const result = make_caller(host.port()).call("lock", "body", deadline);
    CHECK(result.result == outcome::ran);
    CHECK(host.requests().size() == 2);
}

TEST_CASE("caller_earlier_id_is_resent_as_repeated_transmission", "[caller][concurrent]")
{
    fake_entry_host host(tell_ran);
    host.set_lookup(lookup_text(host_text("a", host.port())));
    identity::request_id const id{"a", 7, 3, "earlier"};
    auto const result = make_caller(host.port()).resend(id, "lock", "body", deadline);
    CHECK(result.result == outcome::ran);
    REQUIRE(host.requests().size() == 1);
    CHECK(sent_id(host.requests()[0]) == "a/7/3/earlier");
    CHECK(sent_number(host.requests()[0]) == "2");
}

TEST_CASE("caller_unreachable_sources_fail_the_lookup", "[caller]")
{
    auto own = make_caller(closed_port);
    CHECK_THROWS_AS(own.lookup("lock"), caller::lookup_error);
    CHECK_THROWS_AS(own.call("lock", "", deadline), caller::lookup_error);
}

// Failure: the last chunk of an empty body that arrived in pieces ended the process of the caller.
TEST_CASE("caller_empty_chunked_answer_in_pieces_is_answered", "[caller][concurrent]")
{
    support::raw_listener host;
    auto received = std::async(
        std::launch::async,
        [&host]()
        {
            caller::connection_pool pool;
            return pool.exchange("127.0.0.1", host.port(), {"GET", "/", {}, {}}, max_wait);
        });
    auto connection = host.accept();
    REQUIRE_FALSE(connection.receive_message().empty());
    connection.send_in_pieces("HTTP/1.1 200 OK\r\nPistachiohub-Outcome: ran\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    auto const result = received.get();
    CHECK(result.end == caller::exchange_end::answered);
    CHECK(result.outcome == "ran");
}

// The same in the server of the stand-ins.
TEST_CASE("standin_server_empty_chunked_body_in_pieces_is_read", "[caller][concurrent]")
{
    fake_entry_host host(tell_ran);
    auto connection = support::connect_to(host.port());
    connection.send_in_pieces("POST /v1/requests/lock HTTP/1.1\r\nHost: h\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    CHECK(connection.receive_message().starts_with("HTTP/1.1 200 "));
    CHECK(host.requests().size() == 1);
}

// Failure: a header above 65,533 bytes threw an exception out of the library.
TEST_CASE("caller_large_header_is_sent", "[caller][concurrent]")
{
    std::string const large(70'000, 'x');
    support::raw_listener host;
    auto received = std::async(std::launch::async,
                               [&host, &large]()
                               {
                                   caller::connection_pool pool;
                                   return pool.exchange("127.0.0.1",
                                                        host.port(),
                                                        {"GET", "/", {{"X-Long", large}}, {}},
                                                        max_wait);
                               });
    auto connection = host.accept();
    CHECK(connection.receive_message().find(large) != std::string::npos);
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK(received.get().end == caller::exchange_end::answered);
}

// Bytes without end are not kept, and an answer that is none does not count as one.
TEST_CASE("caller_answer_that_is_none_is_lost", "[caller][concurrent]")
{
    using caller::exchange_end;
    auto const [head, repeated] = GENERATE(
        std::pair<std::string, std::string>(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: more\r\n"),
        std::pair<std::string, std::string>(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "more;"),
        std::pair<std::string, std::string>("HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n",
                                            "more"));
    support::raw_listener host;
    auto received = std::async(
        std::launch::async,
        [&host]()
        {
            caller::connection_pool pool;
            return pool.exchange("127.0.0.1", host.port(), {"GET", "/", {}, {}}, max_wait);
        });
    auto connection = host.accept();
    REQUIRE_FALSE(connection.receive_message().empty());
    connection.send(head);
    std::string block;
    while (block.size() < 65536)
        block += repeated;
    CHECK(connection.send_until_closed(block, 3000).has_value());
    CHECK(received.get().end == exchange_end::lost);
}

} // namespace pistachiohub
