#include "plugins/gateway/affinity.hpp"
#include "plugins/gateway/cold_allowance.hpp"
#include "plugins/gateway/retry_allowance.hpp"
#include "plugins/gateway/split_rotation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>
#include <map>

namespace pistachiohub
{

namespace
{

kernel::monotonic_time const start{std::chrono::hours(1)};
using std::chrono::milliseconds;

std::vector<gateway::affinity_candidate> make_candidates(int count)
{
    std::vector<gateway::affinity_candidate> candidates;
    for (int number = 0; number < count; ++number)
        candidates.push_back({gateway::hash_text("server-" + std::to_string(number)), 4});
    return candidates;
}

std::uint64_t key_of(int number)
{
    return gateway::hash_text(std::to_string(number));
}

} // namespace

// Load pattern: an object is asked for again and again, and only servers that know it are fast.
TEST_CASE("affinity_lost_server_moves_only_its_own_keys", "[gateway]")
{
    auto const all = make_candidates(16);
    auto fewer = all;
    fewer.pop_back();
    int moved = 0;
    constexpr int keys = 2000;
    for (int number = 0; number < keys; ++number)
    {
        auto const before = gateway::rank_by_affinity(key_of(number), all, 1).front();
        auto const after = gateway::rank_by_affinity(key_of(number), fewer, 1).front();
        if (before == all.size() - 1)
            ++moved;
        else
            CHECK(before == after);
    }
    CHECK(moved > keys / 32);
    CHECK(moved < keys / 8);
}

TEST_CASE("affinity_keys_follow_weights", "[gateway]")
{
    auto candidates = make_candidates(2);
    candidates[0].weight = 12;
    std::map<std::size_t, int> counts;
    constexpr int keys = 4000;
    for (int number = 0; number < keys; ++number)
        ++counts[gateway::rank_by_affinity(key_of(number), candidates, 1).front()];
    CHECK(counts[0] > keys * 0.7);
    CHECK(counts[0] < keys * 0.8);
}

TEST_CASE("affinity_position_of_keys_is_even", "[gateway]")
{
    constexpr int keys = 4000;
    int below = 0;
    for (int number = 0; number < keys; ++number)
    {
        auto const position = gateway::position_of_key(key_of(number));
        REQUIRE(position >= 0);
        REQUIRE(position < 1);
        below += position < 0.25 ? 1 : 0;
    }
    CHECK(below > keys * 0.22);
    CHECK(below < keys * 0.28);
}

// No daemon knows what the others send, and they may disagree on the number of daemons as long as
// none counts too few.
TEST_CASE("retry_allowance_any_fleet_keeps_the_budget", "[gateway]")
{
    rc::prop("the sum over all daemons stays within the budget of any window",
             []()
             {
                 gateway::retry_bounds bounds;
                 bounds.ratio = *rc::gen::inRange(0, 50) / 100.0;
                 bounds.extra = *rc::gen::inRange(0, 100);
                 auto const daemons = *rc::gen::inRange<std::size_t>(1, 12);
                 std::vector<gateway::retry_allowance> states(daemons);
                 std::deque<kernel::monotonic_time> requests;
                 std::deque<kernel::monotonic_time> repeats;
                 auto now = start;
                 for (auto const step :
                      *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 1'000'000)))
                 {
                     now += milliseconds(step % 90);
                     auto& state = states[static_cast<std::size_t>(step / 90) % daemons];
                     gateway::record_request(state, bounds, now);
                     requests.push_back(now);
                     auto const counted = daemons + static_cast<std::size_t>(step % 3);
                     if (gateway::try_repeat(state, bounds, counted, now))
                         repeats.push_back(now);
                     while (!repeats.empty() && repeats.front() <= now - bounds.window)
                         repeats.pop_front();
                     while (!requests.empty() && requests.front() <= now - bounds.window)
                         requests.pop_front();
                     auto const most =
                         bounds.ratio * static_cast<double>(requests.size()) + bounds.extra;
                     RC_ASSERT(static_cast<double>(repeats.size()) <= most + 1e-9);
                 }
             });
}

TEST_CASE("cold_share_any_fleet_keeps_the_rate", "[gateway]")
{
    rc::prop("the shares of all daemons add up to at most the tolerated rate",
             []()
             {
                 auto const most = *rc::gen::inRange(0, 400) / 10.0;
                 auto const daemons = *rc::gen::inRange<std::size_t>(1, 400);
                 double sum = 0;
                 for (std::size_t position = 0; position < daemons; ++position)
                     sum += gateway::cold_share(most, position, daemons);
                 RC_ASSERT(sum <= most * gateway::used_part_of_cold_rate + 1e-9);
             });
}

TEST_CASE("cold_position_every_daemon_has_its_own", "[gateway]")
{
    std::vector<std::string> const hosts{"a", "b", "c", "d", "e"};
    std::vector<bool> taken(hosts.size());
    for (auto const& host : hosts)
    {
        auto const position = gateway::cold_position("server", host, hosts);
        REQUIRE(position < hosts.size());
        CHECK_FALSE(taken[position]);
        taken[position] = true;
    }
}

// Requests that are sent late in one second and early in the next fall into one sliding second.
TEST_CASE("cold_allowance_any_sliding_second_keeps_the_share", "[gateway]")
{
    rc::prop("no sliding second holds more than the share",
             []()
             {
                 auto const share = static_cast<double>(*rc::gen::inRange(0, 9));
                 gateway::known_server server;
                 std::deque<kernel::monotonic_time> sent;
                 auto now = start;
                 for (auto const step :
                      *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 400)))
                 {
                     now += milliseconds(step);
                     if (gateway::try_send_cold(server, share, now))
                         sent.push_back(now);
                     while (!sent.empty() && sent.front() <= now - std::chrono::seconds(1))
                         sent.pop_front();
                     RC_ASSERT(static_cast<double>(sent.size()) <= share);
                 }
             });
}

TEST_CASE("split_rotation_any_prefix_follows_the_weights", "[gateway]")
{
    std::vector<routing::split_part> const split{{"a", 90}, {"b", 7}, {"c", 3}};
    gateway::split_rotation rotation;
    std::vector<int> counts(split.size());
    for (int number = 1; number <= 1000; ++number)
    {
        ++counts[gateway::next_part(rotation, split)];
        for (std::size_t part = 0; part < split.size(); ++part)
        {
            auto const wanted = number * split[part].weight / 100.0;
            CHECK(std::abs(counts[part] - wanted) <= 1.0);
        }
    }
}

} // namespace pistachiohub
