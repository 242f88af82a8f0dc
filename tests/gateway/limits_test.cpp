#include "plugins/gateway/affinity.hpp"
#include "plugins/gateway/cold_allowance.hpp"
#include "plugins/gateway/retry_allowance.hpp"
#include "plugins/gateway/weighted_round_robin.hpp"

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

// Load pattern: objects are requested repeatedly, and only servers that have them cached are fast.
// Removing a server must not change the server of any other key.
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

TEST_CASE("affinity_keys_are_distributed_by_weight", "[gateway]")
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

TEST_CASE("affinity_sample_of_keys_is_uniform", "[gateway]")
{
    constexpr int keys = 4000;
    int below = 0;
    for (int number = 0; number < keys; ++number)
    {
        auto const position = gateway::uniform_sample_of_key(key_of(number));
        REQUIRE(position >= 0);
        REQUIRE(position < 1);
        below += position < 0.25 ? 1 : 0;
    }
    CHECK(below > keys * 0.22);
    CHECK(below < keys * 0.28);
}

// Daemons do not exchange their retry counts, and may disagree on the number of daemons as long as
// none of them assumes too few.
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
                 std::deque<kernel::monotonic_time> retries;
                 auto now = start;
                 for (auto const step :
                      *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 1'000'000)))
                 {
                     now += milliseconds(step % 90);
                     auto& state = states[static_cast<std::size_t>(step / 90) % daemons];
                     gateway::record_request(state, bounds, now);
                     requests.push_back(now);
                     auto const assumed_daemons = daemons + static_cast<std::size_t>(step % 3);
                     if (gateway::try_retry(state, bounds, assumed_daemons, now))
                         retries.push_back(now);
                     while (!retries.empty() && retries.front() <= now - bounds.window)
                         retries.pop_front();
                     while (!requests.empty() && requests.front() <= now - bounds.window)
                         requests.pop_front();
                     auto const limit =
                         bounds.ratio * static_cast<double>(requests.size()) + bounds.extra;
                     RC_ASSERT(static_cast<double>(retries.size()) <= limit + 1e-9);
                 }
             });
}

TEST_CASE("cold_request_share_any_fleet_keeps_the_rate", "[gateway]")
{
    rc::prop("the shares of all daemons add up to at most the tolerated rate",
             []()
             {
                 auto const limit = *rc::gen::inRange(0, 400) / 10.0;
                 auto const daemons = *rc::gen::inRange<std::size_t>(1, 400);
                 double sum = 0;
                 for (std::size_t position = 0; position < daemons; ++position)
                     sum += gateway::cold_request_share(limit, position, daemons);
                 RC_ASSERT(sum <= limit * gateway::cold_rate_safety_factor + 1e-9);
             });
}

TEST_CASE("daemon_rank_is_unique_for_each_daemon", "[gateway]")
{
    std::vector<std::string> const hosts{"a", "b", "c", "d", "e"};
    std::vector<bool> taken(hosts.size());
    for (auto const& host : hosts)
    {
        auto const position = gateway::daemon_rank_for_server("server", host, hosts);
        REQUIRE(position < hosts.size());
        CHECK_FALSE(taken[position]);
        taken[position] = true;
    }
}

// Guards against a limit per clock second: requests at the end of one clock second and at the start
// of the next fall into the same sliding second.
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
                     if (gateway::try_admit_cold_request(server, share, now))
                         sent.push_back(now);
                     while (!sent.empty() && sent.front() <= now - std::chrono::seconds(1))
                         sent.pop_front();
                     RC_ASSERT(static_cast<double>(sent.size()) <= share);
                 }
             });
}

TEST_CASE("weighted_round_robin_any_prefix_follows_the_weights", "[gateway]")
{
    std::vector<routing::split_part> const split{{"a", 90}, {"b", 7}, {"c", 3}};
    gateway::weighted_round_robin round_robin;
    std::vector<int> counts(split.size());
    for (int number = 1; number <= 1000; ++number)
    {
        ++counts[gateway::select_next_part(round_robin, split)];
        for (std::size_t part = 0; part < split.size(); ++part)
        {
            auto const expected = number * split[part].weight / 100.0;
            CHECK(std::abs(counts[part] - expected) <= 1.0);
        }
    }
}

} // namespace pistachiohub
