#include "libraries/http/connection_choice.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

using http::connection_use;
using std::chrono::milliseconds;

kernel::monotonic_time const now{std::chrono::hours(1)};

http::connection_state make_state(connection_use use, int age_ms, std::size_t bytes = 0)
{
    auto const since = now - milliseconds(age_ms);
    return {use, since, bytes, since, bytes};
}

} // namespace

// Failure: idle connections took all places, and ordinary callers were kept out for good.
TEST_CASE("connection_choice_oldest_idle_connection_goes_first", "[http]")
{
    CHECK(http::choose_connection_to_close({make_state(connection_use::receiving_head, 9000),
                                            make_state(connection_use::idle, 600),
                                            make_state(connection_use::idle, 700),
                                            make_state(connection_use::running, 9000)},
                                           now) == 2);
}

TEST_CASE("connection_choice_slow_request_goes_when_none_is_idle", "[http]")
{
    CHECK(http::choose_connection_to_close({make_state(connection_use::receiving_body, 9000),
                                            make_state(connection_use::receiving_head, 600),
                                            make_state(connection_use::sending, 9000)},
                                           now) == 1);
    CHECK(http::choose_connection_to_close({make_state(connection_use::receiving_body, 1100),
                                            make_state(connection_use::running, 9000)},
                                           now) == 0);
}

// A caller that has just connected would otherwise lose its connection to the next one.
TEST_CASE("connection_choice_new_connections_and_running_requests_stay", "[http]")
{
    CHECK_FALSE(http::choose_connection_to_close({make_state(connection_use::idle, 100),
                                                  make_state(connection_use::receiving_head, 100),
                                                  make_state(connection_use::receiving_body, 900),
                                                  make_state(connection_use::running, 90000),
                                                  make_state(connection_use::sending, 90000)},
                                                 now));
}

// Failure: a few slow bodies held all memory, and every other request was refused.
TEST_CASE("connection_choice_largest_old_body_is_refused", "[http]")
{
    CHECK(http::choose_request_to_refuse({make_state(connection_use::receiving_body, 5000, 10),
                                          make_state(connection_use::receiving_body, 5000, 30),
                                          make_state(connection_use::receiving_body, 100, 90),
                                          make_state(connection_use::running, 5000, 20)},
                                         now) == 1);
    // A body may stand behind a request that runs for long.
    CHECK(http::choose_request_to_refuse({make_state(connection_use::receiving_body, 5000, 10),
                                          make_state(connection_use::running, 5000, 20)},
                                         now) == 1);
    CHECK_FALSE(
        http::choose_request_to_refuse({make_state(connection_use::receiving_body, 100, 90)}, now));
}

// Failure: callers that read nothing held the memory for answers until all others were refused.
TEST_CASE("connection_choice_largest_stalled_reader_is_closed", "[http]")
{
    CHECK(http::choose_slow_reader({make_state(connection_use::sending, 5000, 10),
                                    make_state(connection_use::sending, 5000, 30),
                                    make_state(connection_use::sending, 100, 90)},
                                   now) == 1);
    CHECK_FALSE(http::choose_slow_reader({make_state(connection_use::sending, 100, 90)}, now));
}

} // namespace pistachiohub
