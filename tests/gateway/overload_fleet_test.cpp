#include "tests/gateway/overload_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>

namespace pistachiohub
{

namespace
{

using gateway_test::overload_counts;
using gateway_test::overload_fleet;
using gateway_test::overload_plan;

// A request that cannot be served in time is refused within this fraction of its target latency.
constexpr double refusal_fraction = 0.125;
// The waiting requests are looked at once in 10 ms.
constexpr double tick_seconds = 0.01;

overload_plan burst_of_one_kind()
{
    return {{0}, {{0, "", 250, 0, 16, true}, {0, "", 700, 6, 9, true}}, 16};
}

overload_plan one_customer_with_seven_times_its_demand()
{
    overload_plan plan;
    for (int number = 0; number < 6; ++number)
        plan.groups.push_back({0, "usual-" + std::to_string(number), 35, 0, 16, true});
    plan.groups.push_back({0, "surge", 50, 0, 5, true});
    plan.groups.push_back({0, "surge", 350, 5, 11, true});
    return plan;
}

overload_plan customers_of_different_size()
{
    return {{0},
            {{0, "large", 600, 0, 16, true},
             {0, "middle", 80, 0, 16, true},
             {0, "small", 10, 0, 16, true}},
            16};
}

overload_plan routes_of_different_priority()
{
    return {{0, 2}, {{0, "", 200, 0, 16, true}, {1, "", 400, 0, 16, true}}, 16};
}

overload_plan retries_that_come_back_together()
{
    return {{0}, {{0, "", 200, 0, 12, true}, {0, "", 1000, 5, 5.2, true}}, 12};
}

overload_plan uneven_servers()
{
    return {{0}, {{0, "", 230, 0, 14, true}}, 14, 3};
}

/// The counts of three seeds together.
struct overload_result
{
    std::map<std::string, overload_counts> counts;
    std::size_t refused_with_free_slot = 0;
    std::size_t late_starts = 0;
};

overload_result play(overload_plan const& plan)
{
    overload_result sum;
    for (unsigned const seed : {1U, 2U, 3U})
    {
        overload_fleet fleet(plan, seed);
        fleet.play();
        sum.refused_with_free_slot += fleet.m_refused_with_free_slot;
        sum.late_starts += fleet.m_late_starts;
        for (auto const& [name, counts] : fleet.m_counts)
        {
            auto& total = sum.counts[name];
            total.asked += counts.asked;
            total.in_time += counts.in_time;
            total.late += counts.late;
            total.came_back += counts.came_back;
            total.served_again += counts.served_again;
            total.waits.insert(total.waits.end(), counts.waits.begin(), counts.waits.end());
        }
    }
    return sum;
}

void print(char const* name, overload_result const& result)
{
    std::printf("%s: refused with a free slot %zu, late starts %zu\n",
                name,
                result.refused_with_free_slot,
                result.late_starts);
    for (auto const& [of, counts] : result.counts)
        std::printf("| %s | %.0f | %.0f | %.0f | %zu | %.0f | %.0f | %.0f |\n",
                    of.c_str(),
                    counts.asked,
                    counts.in_time,
                    counts.late,
                    counts.waits.size(),
                    1000 * counts.p99_wait(),
                    counts.came_back,
                    counts.served_again);
}

// The invariants that hold for every load pattern.
void check_invariants(overload_result const& result)
{
    auto const& all = result.counts.at("all");
    for (auto const& [name, counts] : result.counts)
    {
        INFO(name);
        CHECK(counts.served_part() >= 0.25 * all.served_part());
    }
    CHECK(all.p99_wait() <= refusal_fraction * overload_fleet::target_seconds + tick_seconds);
    CHECK(result.refused_with_free_slot == 0);
}

} // namespace

// Load pattern: a burst of one kind takes more than the slots for a few seconds.
TEST_CASE("overload_burst_of_one_kind_is_refused_early", "[gateway][overload]")
{
    check_invariants(play(burst_of_one_kind()));
}

// Load pattern: one customer sends seven times its usual demand. The others must not pay for it.
TEST_CASE("overload_surge_of_one_customer_leaves_others_served", "[gateway][overload]")
{
    auto const result = play(one_customer_with_seven_times_its_demand());
    check_invariants(result);
    for (auto const& [name, counts] : result.counts)
    {
        INFO(name);
        if (name.starts_with("customer usual"))
            CHECK(counts.in_time >= 0.95 * counts.asked);
    }
}

// Load pattern: customers of very different size demand more than the slots. A small one that stays
// below its fair share must get what it asks for.
TEST_CASE("overload_large_customer_does_not_starve_a_small_one", "[gateway][overload]")
{
    auto const result = play(customers_of_different_size());
    check_invariants(result);
    CHECK(result.counts.at("customer small").served_part() >= 0.95);
    CHECK(result.counts.at("customer middle").served_part() >= 0.95);
}

// Load pattern: two routes of one service with different priority demand more than the slots.
TEST_CASE("overload_urgent_route_is_served_first_and_the_other_not_starved", "[gateway][overload]")
{
    auto const result = play(routes_of_different_priority());
    check_invariants(result);
    CHECK(result.counts.at("kind-0").served_part() >=
          result.counts.at("kind-1").served_part() - 0.05);
    CHECK(result.counts.at("kind-0").served_part() >= 0.95);
}

// Load pattern: many callers are refused at the same moment. Returns that come together are refused
// together again.
TEST_CASE("overload_refused_callers_return_when_slots_are_free", "[gateway][overload]")
{
    auto const result = play(retries_that_come_back_together());
    check_invariants(result);
    auto const& all = result.counts.at("all");
    CHECK(all.served_again >= 0.9 * all.came_back);
}

// Load pattern: the machines of some servers are disturbed, so that work takes three times as long
// there. The others have slots for all requests.
TEST_CASE("overload_requests_avoid_servers_on_slow_machines", "[gateway][overload]")
{
    auto const result = play(uneven_servers());
    auto const& all = result.counts.at("all");
    CHECK(all.in_time >= 0.95 * all.asked);
}

// Prints the table of docs/design/admission.md.
TEST_CASE("overload_table", "[.][overload_table]")
{
    print("burst of one kind", play(burst_of_one_kind()));
    print("one customer with 7 times its demand", play(one_customer_with_seven_times_its_demand()));
    print("customers of different size", play(customers_of_different_size()));
    print("routes of different priority", play(routes_of_different_priority()));
    print("retries that come back together", play(retries_that_come_back_together()));
    print("uneven servers", play(uneven_servers()));
}

} // namespace pistachiohub
