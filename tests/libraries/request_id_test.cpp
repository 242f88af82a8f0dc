#include "libraries/identity/request_id.hpp"
#include "libraries/outcome/outcome.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace pistachiohub
{

// A second text form of one id, or a wrongly parsed owner, would let a request run twice.
TEST_CASE("request_id_valid_text_round_trips", "[identity]")
{
    auto const id = identity::parse_request_id("host-1/1024/7/till_5-A");
    REQUIRE(id);
    CHECK(id->owner == "host-1");
    CHECK(id->incarnation == 1024);
    CHECK(id->epoch == 7);
    CHECK(identity::to_string(*id) == "host-1/1024/7/till_5-A");
}

// Failure: an id with bytes that are no text made the whole settlement unreadable.
TEST_CASE("callers_id_is_kept_as_ascii_without_collision", "[identity]")
{
    CHECK(identity::encode_callers_id("till_5-A.~") == "till_5-A.~");
    CHECK(identity::encode_callers_id("k\xf6p/0 %") == "k%F6p%2F0%20%25");
    std::set<std::string> encoded;
    for (unsigned byte = 0; byte <= 0xFF; ++byte)
    {
        auto const text = identity::encode_callers_id(std::string(1, static_cast<char>(byte)));
        CHECK(std::all_of(text.begin(),
                          text.end(),
                          [](unsigned char character)
                          {
                              return character > ' ' && character < 0x7F && character != '/';
                          }));
        CHECK(encoded.insert(text).second);
    }
    CHECK(identity::unique_part_of("host-1/1024/7/k%F6p") == "k%F6p");
    CHECK_FALSE(identity::unique_part_of("host-1/1024/7"));
}

TEST_CASE("request_id_invalid_text_is_refused", "[identity]")
{
    auto const* const text = GENERATE("",
                                      "host/1/2",
                                      "host/1/2/",
                                      "Host/1/2/a",
                                      "host/01/2/a",
                                      "host/1/-2/a",
                                      "host/1/2/a/b",
                                      "host/1/2/a b",
                                      "host/9007199254740992/2/a",
                                      "host/1/4294967296/a");
    CHECK_FALSE(identity::parse_request_id(text));
}

TEST_CASE("reason_names_round_trip", "[outcome]")
{
    for (int value = 0; value <= static_cast<int>(reason::cancelled); ++value)
        CHECK(parse_reason(to_string(static_cast<reason>(value))) == static_cast<reason>(value));
}

} // namespace pistachiohub
