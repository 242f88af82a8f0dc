#include "plugins/peer/pipe_limit.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

// Load pattern: one host opens many connections to the peer port; those of other hosts must still
// be accepted, and its own after it has closed some.
TEST_CASE("pipe_limit_many_connections_of_one_address_leave_room_for_others", "[peer]")
{
    peer::pipe_limit limit;
    int pipe = 0;
    for (; pipe < static_cast<int>(peer::max_pipes_of_address); ++pipe)
        CHECK(peer::add_pipe(limit, pipe, "hostile"));
    CHECK_FALSE(peer::add_pipe(limit, pipe, "hostile"));
    // nng reports the end of a refused connection too.
    peer::remove_pipe(limit, pipe);
    CHECK_FALSE(peer::add_pipe(limit, ++pipe, "hostile"));
    CHECK(peer::add_pipe(limit, ++pipe, "ordinary"));
    peer::remove_pipe(limit, 0);
    CHECK(peer::add_pipe(limit, ++pipe, "hostile"));
}

TEST_CASE("pipe_limit_ended_connections_leave_nothing", "[peer]")
{
    peer::pipe_limit limit;
    for (int pipe = 0; pipe < 1000; ++pipe)
    {
        CHECK(peer::add_pipe(limit, pipe, std::to_string(pipe)));
        peer::remove_pipe(limit, pipe);
    }
    CHECK(limit.count_of_address.empty());
    CHECK(limit.address_of_pipe.empty());
}

} // namespace pistachiohub
