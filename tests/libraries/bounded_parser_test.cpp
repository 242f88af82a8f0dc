#include "libraries/http/bounded_parser.hpp"

#include <boost/beast/http/error.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <optional>
#include <string>

namespace pistachiohub
{

namespace
{

namespace beast_http = boost::beast::http;
using boost::system::error_code;

constexpr http::parser_limits limits{1024, 4096};

/// How the parsing of an input ended.
struct parse_end
{
    bool is_done = false;
    error_code failure;
    /// Input that the parser left.
    std::size_t most_kept = 0;
    std::size_t most_memory = 0;
    std::string body;
    std::size_t fields = 0;
};

// Feeds `input` in pieces, as a server that keeps what the parser leaves.
parse_end parse(std::string const& input, std::size_t piece)
{
    http::request_parser parser(limits);
    parse_end end;
    std::string kept;
    for (std::size_t position = 0; position < input.size() && !end.is_done; position += piece)
    {
        kept += input.substr(position, piece);
        error_code failure;
        while (!kept.empty() && !parser.is_done() && !failure)
            kept.erase(0, parser.put_bounded(boost::asio::buffer(kept), failure));
        end.most_kept = std::max(end.most_kept, kept.size());
        end.most_memory = std::max(end.most_memory, parser.memory());
        if (failure && failure != beast_http::error::need_more)
        {
            end.failure = failure;
            return end;
        }
        end.is_done = parser.is_done();
    }
    if (!end.is_done)
        return end;
    end.body = parser.body();
    end.fields = parser.head().headers.size();
    return end;
}

std::string repeat(std::string const& text, std::size_t count)
{
    std::string result;
    for (std::size_t number = 0; number < count; ++number)
        result += text;
    return result;
}

std::string const chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Failure: Beast's parser bounds only the part of a head that it keeps unread, so that the limit
// depended on how the head was cut.
TEST_CASE("bounded_parser_head_without_end_is_refused_however_it_is_cut", "[http]")
{
    auto const piece = GENERATE(1, 8, 16, 100, 8192);
    auto const end = parse("GET / HTTP/1.1\r\n" + repeat("ab:cde\r\n", 10000), piece);
    CHECK(end.failure == beast_http::error::header_limit);
    CHECK(end.most_memory < std::size_t{64} * limits.header_bytes);
}

// Failure: a trailer was kept whole and without a bound until its end, and each of its fields then
// took many times its bytes.
TEST_CASE("bounded_parser_trailers_without_end_are_refused", "[http]")
{
    auto const piece = GENERATE(1, 8, 100);
    auto const end = parse(chunked + "4\r\nbody\r\n0\r\n" + repeat("a:\r\n", 100000), piece);
    CHECK(end.failure == beast_http::error::header_limit);
    CHECK(end.most_kept <= limits.header_bytes + 100);
    CHECK(end.most_memory < 1000);
}

TEST_CASE("bounded_parser_chunk_extension_without_end_is_refused", "[http]")
{
    auto const piece = GENERATE(1, 100);
    auto const end = parse(chunked + "4;" + std::string(100000, 'e'), piece);
    CHECK(end.failure == beast_http::error::header_limit);
    CHECK(end.most_kept <= limits.header_bytes + 100);
}

// A trailer must not act like a header, which for example names a customer's key.
TEST_CASE("bounded_parser_usual_trailers_are_dropped", "[http]")
{
    auto const piece = GENERATE(1, 7, 1000);
    auto const end = parse(
        chunked + "4;a=b\r\nbody\r\n0\r\nExpires: never\r\nAuthorization: Bearer k\r\n\r\n", piece);
    CHECK(end.is_done);
    CHECK(end.body == "body");
    CHECK(end.fields == 1);
}

TEST_CASE("bounded_parser_request_at_the_limits_is_read", "[http]")
{
    auto const piece = GENERATE(1, 100, 8192);
    std::string const start = "POST / HTTP/1.1\r\nContent-Length: 4096\r\nX-Long: ";
    auto const padding = limits.header_bytes - start.size() - 4;
    auto const end =
        parse(start + std::string(padding, 'x') + "\r\n\r\n" + std::string(*limits.body_bytes, 'b'),
              piece);
    CHECK(end.is_done);
    CHECK(end.body.size() == *limits.body_bytes);
    auto const longer = parse(start + std::string(padding + 1, 'x') + "\r\n\r\n", piece);
    CHECK(longer.failure == beast_http::error::header_limit);
}

TEST_CASE("bounded_parser_chunks_of_one_byte_are_read", "[http]")
{
    auto const end = parse(chunked + repeat("1\r\nx\r\n", *limits.body_bytes) + "0\r\n\r\n", 4096);
    CHECK(end.is_done);
    CHECK(end.body.size() == *limits.body_bytes);
    CHECK(
        parse(chunked + repeat("1\r\nx\r\n", *limits.body_bytes + 1) + "0\r\n\r\n", 4096).failure ==
        beast_http::error::body_limit);
}

// The end must depend on the bytes only, or requests could be cut apart differently by two hosts.
TEST_CASE("bounded_parser_any_cut_gives_the_same_end", "[http]")
{
    rc::prop("the end does not depend on the pieces",
             []()
             {
                 auto const field = *rc::gen::element<std::string>(
                     "a:\r\n", "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", "x\r\n");
                 auto const rest = *rc::gen::element<std::string>(
                     "abc", "3\r\nabc\r\n0\r\n\r\n", "3;x\r\nabc\r\n0\r\na:b\r\n\r\n", "0\r\n\r\n");
                 auto const input = "POST / HTTP/1.1\r\n" +
                                    repeat(field, *rc::gen::inRange<std::size_t>(0, 3)) + "\r\n" +
                                    rest;
                 auto const whole = parse(input, input.size());
                 auto const cut = parse(input, *rc::gen::inRange<std::size_t>(1, 20));
                 RC_ASSERT(whole.is_done == cut.is_done);
                 RC_ASSERT(whole.failure == cut.failure);
                 RC_ASSERT(whole.body == cut.body);
             });
}

} // namespace pistachiohub
