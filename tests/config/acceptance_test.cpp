#include "plugins/config/acceptance.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

namespace pistachiohub
{

namespace
{

config::held_configuration make_held(std::uint64_t version)
{
    configuration::configuration document;
    document.version = version;
    return {std::make_shared<configuration::configuration const>(document),
            std::make_shared<std::string const>(std::to_string(version))};
}

} // namespace

// I8: documents arrive from store and peers in any order; the version in force never falls.
TEST_CASE("accept_any_order_of_documents_never_reverts", "[config]")
{
    rc::prop("the highest version seen is in force",
             []()
             {
                 auto const versions = *rc::gen::container<std::vector<std::uint64_t>>(
                     rc::gen::inRange<std::uint64_t>(0, 30));
                 config::held_configuration held;
                 std::uint64_t highest = 0;
                 for (auto const version : versions)
                 {
                     bool const is_higher = version > highest;
                     RC_ASSERT(config::accept(held, make_held(version)) == is_higher);
                     highest = std::max(highest, version);
                     RC_ASSERT(config::held_version(held) == highest);
                     RC_ASSERT((!held.text || *held.text == std::to_string(highest)));
                 }
             });
}

TEST_CASE("accept_incomplete_document_is_refused", "[config]")
{
    config::held_configuration held;
    auto received = make_held(3);
    received.text = nullptr;
    CHECK_FALSE(config::accept(held, received));
    CHECK_FALSE(config::accept(held, {}));
    CHECK(config::held_version(held) == 0);
}

// Every message of a newer peer would otherwise cost a transfer of the whole document.
TEST_CASE("should_request_repeated_messages_are_rate_limited", "[config]")
{
    using namespace std::chrono_literals;
    config::request_times times;
    kernel::monotonic_time const start{1h};
    CHECK_FALSE(config::should_request(times, "peer", 4, 4, start));
    CHECK(config::should_request(times, "peer", 4, 5, start));
    CHECK_FALSE(config::should_request(times, "peer", 4, 5, start + 199ms));
    CHECK_FALSE(config::should_request(times, "other", 4, 5, start + 49ms));
    CHECK(config::should_request(times, "other", 4, 5, start + 50ms));
    CHECK(config::should_request(times, "peer", 4, 5, start + 200ms));
}

} // namespace pistachiohub
