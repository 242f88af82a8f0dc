#include "plugins/memory/host_shares.hpp"
#include "plugins/memory/server_bytes.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

namespace pistachiohub
{

namespace
{

constexpr std::size_t limit = 64'000'000;

} // namespace

// Load pattern: several large uploads choose the same server, which crashes when it holds them all.
TEST_CASE("server_bytes_second_large_upload_does_not_fit", "[memory]")
{
    CHECK(memory::has_room(0, 40'000'000, limit));
    CHECK_FALSE(memory::has_room(40'000'000, 40'000'000, limit));
    CHECK(memory::has_room(40'000'000, 24'000'000, limit));
}

// A request that exceeds the bound alone would otherwise never be sent.
TEST_CASE("server_bytes_largest_upload_fits_an_empty_server", "[memory]")
{
    CHECK(memory::has_room(0, 2 * limit, limit));
    CHECK_FALSE(memory::has_room(1'000'000, 2 * limit, limit));
}

// Urgent small requests must not wait behind uploads.
TEST_CASE("server_bytes_small_request_fits_a_full_server", "[memory]")
{
    CHECK(memory::has_room(2 * limit, memory::small_request_bytes, limit));
    CHECK(memory::counted_bytes(memory::small_request_bytes) == 0);
}

TEST_CASE("server_bytes_any_order_keeps_the_bound", "[memory]")
{
    rc::prop("the uploads in flight stay under the bound, or there is only one",
             []()
             {
                 std::vector<std::size_t> running;
                 std::size_t in_flight = 0;
                 for (auto const step :
                      *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100'000'000)))
                 {
                     auto const bytes = static_cast<std::size_t>(step);
                     if (step % 3 == 0 && !running.empty())
                     {
                         in_flight -= memory::counted_bytes(running.back());
                         running.pop_back();
                     }
                     else if (memory::has_room(in_flight, bytes, limit))
                     {
                         in_flight += memory::counted_bytes(bytes);
                         running.push_back(bytes);
                     }
                     std::size_t uploads = 0;
                     for (auto const one : running)
                         uploads += memory::counted_bytes(one) > 0 ? 1 : 0;
                     RC_ASSERT(in_flight <= limit || uploads == 1);
                 }
             });
}

// The connections of all listeners together must not exhaust the descriptors of a small host.
TEST_CASE("host_shares_small_host_keeps_descriptors_for_ordinary_callers", "[memory]")
{
    kernel::host_resources resources;
    resources.descriptors = 512;
    constexpr std::size_t services = 4;
    auto const used = memory::caller_connections(resources) +
                      services * memory::service_limits(resources).connections;
    CHECK(used < 400);
    resources.descriptors = 4100;
    CHECK(memory::service_limits(resources).connections == 128);
}

} // namespace pistachiohub
