#include "plugins/limit/slot_share.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

namespace pistachiohub
{

namespace
{

std::vector<std::string> make_names(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t number = 0; number < count; ++number)
        names.push_back("host-" + std::to_string(number * 7919));
    return names;
}

} // namespace

// Shares that sum to more than the slots overload a backend server; a smaller sum wastes slots.
TEST_CASE("slot_share_any_hosts_sums_to_slots", "[limit]")
{
    rc::prop("the shares of all hosts sum to the slots",
             []()
             {
                 auto const names = make_names(*rc::gen::inRange<std::size_t>(1, 60));
                 auto const slots = *rc::gen::inRange<std::uint32_t>(0, 200);
                 auto const server = *rc::gen::arbitrary<std::string>();
                 std::vector<std::string_view> const hosts(names.begin(), names.end());
                 std::uint32_t sum = 0;
                 for (auto const& host : hosts)
                 {
                     auto const share = limit::slot_share(slots, server, hosts, host);
                     RC_ASSERT(share <= slots / hosts.size() + 1);
                     sum += share;
                 }
                 RC_ASSERT(sum == slots);
             });
}

// A server with a cold cache answers late if it gets its full share at once.
TEST_CASE("usable_slots_returned_server_grows_from_one_to_share", "[limit]")
{
    rc::prop("usable slots never fall while a server stays live",
             []()
             {
                 view::backend_server server;
                 server.slot_share = *rc::gen::inRange<std::uint32_t>(1, 50);
                 kernel::monotonic_time const start{std::chrono::hours(1)};
                 server.live_since = start;
                 std::uint32_t last = limit::usable_slots(server, start);
                 RC_ASSERT(last == 1);
                 for (int second = 1; second <= 20; ++second)
                 {
                     auto const now = start + std::chrono::seconds(second);
                     auto const usable = limit::usable_slots(server, now);
                     RC_ASSERT(usable >= last);
                     RC_ASSERT(usable <= server.slot_share);
                     last = usable;
                 }
                 RC_ASSERT(last == server.slot_share);
                 server.state = view::member_state::leaving;
                 RC_ASSERT(limit::usable_slots(server, start) == 0);
             });
}

} // namespace pistachiohub
