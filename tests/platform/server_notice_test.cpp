#include "platform/server_notice.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace pistachiohub
{

namespace
{

interface::server_notice
read_header(std::string_view header, std::string const& value, unsigned status = 503)
{
    return platform::read_server_notice(status,
                                        [header, &value](std::string_view name)
                                        {
                                            return name == header ? std::string_view(value)
                                                                  : std::string_view();
                                        });
}

interface::server_notice read_limit(std::string const& value)
{
    return read_header("Server-Limit", value);
}

} // namespace

TEST_CASE("server_notice_limit_is_read", "[platform]")
{
    CHECK(read_limit("1.5").max_requests_per_second == 1.5);
    CHECK(read_limit(" 0\t").max_requests_per_second == 0);
    CHECK_FALSE(read_limit("").max_requests_per_second);
    CHECK_FALSE(read_limit("").is_malformed);
}

TEST_CASE("server_notice_leaving_is_read", "[platform]")
{
    CHECK(read_header("Server-Leaving", " 1 ").is_leaving);
    for (auto const* const value : {"", "0", "yes", "11"})
        CHECK_FALSE(read_header("Server-Leaving", value).is_leaving);
    CHECK_FALSE(read_header("Server-Leaving", "0").is_malformed);
    CHECK(read_header("Server-Leaving", "yes").is_malformed);
}

// Only a refusal asks for a pause; another answer with the header speaks to the caller.
TEST_CASE("server_notice_pause_of_a_refusal_is_read", "[platform]")
{
    using std::chrono::milliseconds;
    CHECK(read_header("Retry-After", "2").wanted_pause == milliseconds(2000));
    CHECK(read_header("Retry-After", "0.25").wanted_pause == milliseconds(250));
    CHECK_FALSE(read_header("Retry-After", "2", 200).wanted_pause);
    CHECK_FALSE(read_header("Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT").wanted_pause);
    for (auto const* const value : {"-1", "1e9", "99999999", "inf"})
        CHECK_FALSE(read_header("Retry-After", value).wanted_pause);
    CHECK(read_header("Retry-After", "99999999").is_malformed);
}

// Any bytes may come from a faulty server.
TEST_CASE("server_notice_absurd_limit_is_ignored", "[platform]")
{
    auto const value = GENERATE(std::string("-1"),
                                std::string("inf"),
                                std::string("nan"),
                                std::string("1e300"),
                                std::string("9999999999999"),
                                std::string("1,5"),
                                std::string("1.5 per second"),
                                std::string("0x10"),
                                std::string("\xff\x00", 2));
    CHECK_FALSE(read_limit(value).max_requests_per_second);
    CHECK(read_limit(value).is_malformed);
}

} // namespace pistachiohub
