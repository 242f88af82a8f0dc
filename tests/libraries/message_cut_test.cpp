#include "libraries/http/client.hpp"
#include "libraries/http/message_reader.hpp"
#include "tests/support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace pistachiohub
{

namespace
{

using boost::system::error_code;

constexpr http::parser_limits limits{512, 64};

/// One message as a reader sees it.
struct read_result
{
    http::message_head head;
    std::string body;
    bool is_kept = false;
};

/// What a reader makes of a whole input.
struct reading
{
    std::vector<read_result> messages;
    error_code failure;
    /// Input behind the last message.
    std::size_t unread = 0;
};

/// Reads messages from a connection whose input arrives in pieces.
/// @param cuts positions at which a piece ends, in ascending order.
template<bool is_request>
reading read_in_pieces(std::string const& input, std::vector<std::size_t> cuts)
{
    reading result;
    boost::beast::flat_buffer buffer;
    std::optional<http::bounded_parser<is_request>> parser(limits);
    cuts.push_back(input.size());
    std::size_t begin = 0;
    for (auto const end : cuts)
    {
        auto const room = buffer.prepare(end - begin);
        std::copy(input.begin() + static_cast<std::ptrdiff_t>(begin),
                  input.begin() + static_cast<std::ptrdiff_t>(end),
                  static_cast<char*>(room.data()));
        buffer.commit(end - begin);
        begin = end;
        while (buffer.size() > 0)
        {
            http::parse_buffered(buffer, *parser, result.failure);
            if (result.failure || !parser->is_done())
                break;
            result.messages.push_back({parser->head(), parser->body(), parser->keep_alive()});
            parser.emplace(limits);
        }
        if (result.failure)
            return result;
    }
    result.unread = buffer.size();
    if (!parser->got_some())
        return result;
    parser->put_end(result.failure);
    if (!result.failure)
        result.messages.push_back({parser->head(), parser->body(), false});
    return result;
}

bool is_equal(reading const& left, reading const& right)
{
    auto const is_equal_header = [](http::header const& one, http::header const& other)
    {
        return one.name == other.name && one.value == other.value;
    };
    auto const is_equal_message = [&](read_result const& one, read_result const& other)
    {
        return one.head.method == other.head.method && one.head.target == other.head.target &&
               one.head.status == other.head.status && one.head.reason == other.head.reason &&
               one.head.version == other.head.version && one.body == other.body &&
               one.is_kept == other.is_kept &&
               std::equal(one.head.headers.begin(),
                          one.head.headers.end(),
                          other.head.headers.begin(),
                          other.head.headers.end(),
                          is_equal_header);
    };
    return left.failure == right.failure && left.unread == right.unread &&
           std::equal(left.messages.begin(),
                      left.messages.end(),
                      right.messages.begin(),
                      right.messages.end(),
                      is_equal_message);
}

/// Compares the reading of a whole input with that of pieces: each single cut, each pair of cuts
/// that are close together, single bytes, and seeded sets of cuts.
template<bool is_request>
void check_cuts(std::string const& input)
{
    constexpr unsigned seeds = 64;
    constexpr std::size_t max_distance = 6;
    auto const whole = read_in_pieces<is_request>(input, {});
    auto const check = [&](std::vector<std::size_t> const& cuts)
    {
        if (is_equal(read_in_pieces<is_request>(input, cuts), whole))
            return;
        INFO("cut at " << ::Catch::Detail::stringify(cuts) << " of\n" << input);
        FAIL("the reading depends on the pieces");
    };
    std::vector<std::size_t> all(input.size() - 1);
    std::iota(all.begin(), all.end(), 1);
    check(all);
    for (auto const first : all)
    {
        check({first});
        auto const last = std::min(input.size() - 1, first + max_distance);
        for (auto second = first + 1; second <= last; ++second)
            check({first, second});
    }
    for (unsigned seed = 0; seed < seeds; ++seed)
    {
        std::mt19937 random(seed);
        std::vector<std::size_t> cuts;
        auto const count = 3 + random() % all.size();
        std::sample(
            all.begin(), all.end(), std::back_inserter(cuts), static_cast<long>(count), random);
        check(cuts);
    }
}

std::vector<std::string> const bodies{
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n  c\r\nD:\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n0;a\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n000\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n3;a=b;c=\"d e\"\r\nxyz\r\n0;f\r\nA: b\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n2\r\n\r\n\r\n2\r\n0\r\r\n00\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n1\r\ny\r\n1\r\nz\r\n0\r\n\r\n",
    "Content-Length: 5\r\n\r\n0\r\n\r\n",
    "Content-Length: 0\r\n\r\n",
    // Invalid or too large.
    "Transfer-Encoding: chunked\r\n\r\ng\r\n\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n0 x\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n0\r\nbad\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n1;a=\"\r\nb\"\r\nx\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n41\r\n" + std::string(65, 'x') + "\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
    "Content-Length: 65\r\n\r\nx",
    "bad\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n0\r\nA: " + std::string(502, 'b') + "\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n0\r\nA: " + std::string(503, 'b') + "\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n1;a=" + std::string(506, 'b') + "\r\nx\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n1;a=" + std::string(507, 'b') + "\r\nx\r\n0\r\n\r\n",
    // Incomplete.
    "Transfer-Encoding: chunked\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n0\r\n",
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r",
    "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
    "Content-Length: 5\r\n\r\nxyz",
};

} // namespace

// Failure: the last chunk of an empty body, read without what follows it, failed an assertion of
// the parser with the next byte.
TEST_CASE("message_of_caller_in_pieces_is_read_as_when_whole", "[http]")
{
    for (auto const& body : bodies)
    {
        auto const request = "POST /a HTTP/1.1\r\n" + body;
        check_cuts<true>(request);
        // Pipelined.
        check_cuts<true>(request + "GET / HTTP/1.0\r\n\r\n");
    }
}

TEST_CASE("message_of_server_in_pieces_is_read_as_when_whole", "[http]")
{
    for (auto const& body : bodies)
    {
        check_cuts<false>("HTTP/1.1 200 OK\r\n" + body);
        check_cuts<false>("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 503 Busy\r\nA: b\r\n" + body);
    }
    check_cuts<false>("HTTP/1.1 200 OK\r\n\r\nuntil the end");
    check_cuts<false>("HTTP/1.1 200 OK\r\n\r\n" + std::string(65, 'x'));
    check_cuts<false>("HTTP/1.1 204 No\r\n\r\nHTTP/1.1 000 Odd\r\n\r\n");
}

// Guards against a comparison of readings that all fail.
TEST_CASE("message_in_pieces_has_its_head_and_body", "[http]")
{
    std::string const request = "PUT /a?b HTTP/1.1\r\nC: d\r\n" + bodies.at(6) + "GET / HTT";
    std::vector<std::size_t> cuts(request.size() - 1);
    std::iota(cuts.begin(), cuts.end(), 1);
    auto const result = read_in_pieces<true>(request, cuts);
    REQUIRE(result.messages.size() == 1);
    CHECK(result.messages[0].head.method == "PUT");
    CHECK(result.messages[0].head.target == "/a?b");
    CHECK(result.messages[0].head.headers.size() == 2);
    CHECK(result.messages[0].body == "xyz");
    CHECK(result.failure == boost::beast::http::error::partial_message);
}

// Failure: a name or value above 65,533 bytes threw an exception that left the event loop.
TEST_CASE("message_field_is_bounded_by_the_limits_alone", "[http]")
{
    auto const size = GENERATE(std::size_t{65'533}, std::size_t{65'534}, std::size_t{1'000'000});
    auto const is_name = GENERATE(false, true);
    std::string const large(size, 'x');
    auto const field = is_name ? http::header{large, "y"} : http::header{"y", large};
    std::vector<http::header> const headers{{"Host", "h"}, field};
    auto const text = http::serialize_request("PUT", "/a", headers, "body");
    auto const head_bytes = static_cast<std::uint32_t>(text.size() - 4);
    for (auto const missing : {0U, 1U})
    {
        http::request_parser parser({head_bytes - missing, 4});
        boost::beast::flat_buffer buffer;
        std::copy(text.begin(), text.end(), static_cast<char*>(buffer.prepare(text.size()).data()));
        buffer.commit(text.size());
        error_code failure;
        http::parse_buffered(buffer, parser, failure);
        if (missing > 0)
        {
            CHECK(failure == boost::beast::http::error::header_limit);
            continue;
        }
        REQUIRE(parser.is_done());
        CHECK(parser.head().headers.at(1).name == field.name);
        CHECK(parser.head().headers.at(1).value == field.value);
        CHECK(parser.body() == "body");
    }
}

// Failure: the client of the store and the caller library threw an exception that no caller of
// theirs expects for a header above 65,533 bytes.
TEST_CASE("http_client_large_header_is_sent", "[libraries][concurrent]")
{
    std::string const large(70'000, 'x');
    support::raw_listener listener;
    http::client client("127.0.0.1", listener.port());
    std::string received;
    std::thread server(
        [&listener, &received]()
        {
            auto connection = listener.accept();
            received = connection.receive_message();
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        });
    CHECK(client.send({"GET", "/", {{"X-Long", large}}, {}}).status == 200);
    server.join();
    CHECK(received.find("X-Long: " + large + "\r\n") != std::string::npos);
}

// Guards against a client whose input does not pass the bounded parser: the store, or an operator's
// connection, would end the process.
TEST_CASE("http_client_empty_chunked_answer_in_pieces_is_read", "[libraries][concurrent]")
{
    support::raw_listener listener;
    http::client client("127.0.0.1", listener.port());
    std::thread server(
        [&listener]()
        {
            auto connection = listener.accept();
            static_cast<void>(connection.receive_message());
            connection.send_in_pieces(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
            static_cast<void>(connection.receive_message());
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
        });
    CHECK(client.send({"GET", "/", {}, {}}).body.empty());
    CHECK(client.send({"GET", "/", {}, {}}).body == "two");
    server.join();
}

} // namespace pistachiohub
