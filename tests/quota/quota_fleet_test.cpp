#include "tests/quota/quota_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace pistachiohub
{

namespace
{

using quota_test::fault;
using quota_test::fleet_plan;
using quota_test::fleet_result;

constexpr double jump_factor = 7.5;
constexpr double twofold = 2 * 1.6;
constexpr double least_use = 0.9;
constexpr double most_refused = 0.001;
constexpr int all_customers = -1;
constexpr unsigned seed = 1;

fleet_plan plan_of(std::size_t hosts, double jump, int customer = all_customers)
{
    fleet_plan plan;
    plan.hosts = hosts;
    plan.jump = jump;
    plan.jumping_customer = customer;
    return plan;
}

double refused_part(fleet_result const& result)
{
    return static_cast<double>(result.usual_refusals) /
           static_cast<double>(std::max<std::size_t>(result.usual_requests, 1));
}

} // namespace

// Guards against hosts that admit too much before they learn of each other's demand.
TEST_CASE("quota_holds_when_demand_jumps", "[quota]")
{
    auto plan = plan_of(GENERATE(3, 60), jump_factor);
    plan.jumps_at_one_host = GENERATE(false, true);
    CHECK(quota_test::play(plan, seed).largest_excess <= 0);
}

// Guards against hosts that use the part of those from which they are separated.
TEST_CASE("quota_holds_while_hosts_fail", "[quota]")
{
    auto plan = plan_of(60, jump_factor);
    plan.jump_at = 10;
    plan.kind = GENERATE(fault::cut_off, fault::restarted, fault::suspended);
    CHECK(quota_test::play(plan, seed).largest_excess <= 0);
}

// Guards against limits of an earlier configuration that stay in force.
TEST_CASE("quota_holds_when_limits_change", "[quota]")
{
    auto plan = plan_of(60, jump_factor);
    plan.jump_seconds = 10;
    plan.limit_factor = GENERATE(0.25, 4.0);
    CHECK(quota_test::play(plan, seed).largest_excess <= 0);
}

// Guards against shares that leave a part of the limit unused.
TEST_CASE("quota_is_used_when_demand_is_twofold", "[quota]")
{
    auto plan = plan_of(GENERATE(3, 60), twofold);
    plan.jumps_at_one_host = GENERATE(false, true);
    CHECK(quota_test::play(plan, seed).least_use >= least_use);
}

// Guards against shares below one request that refuse customers within their limit. The smallest
// customers send about 4 requests a second over all hosts.
TEST_CASE("quota_refuses_no_customer_below_its_limit", "[quota]")
{
    auto const result = quota_test::play(plan_of(GENERATE(3, 60), 1), seed);
    CHECK(result.usual_requests > 0);
    CHECK(refused_part(result) <= most_refused);
}

// Guards against hosts that admit nothing while they hear no other host.
TEST_CASE("quota_of_separated_hosts_is_used", "[quota]")
{
    auto plan = plan_of(60, jump_factor);
    plan.jump_seconds = 12;
    plan.kind = fault::cut_off;
    CHECK(quota_test::play(plan, seed).use_of_cut_off > 0.5);
}

// Shows that the invariants above fail when a part of the design is off.
TEST_CASE("quota_parts_of_the_design_are_needed", "[quota]")
{
    auto plan = plan_of(60, jump_factor);
    plan.parts.enforces_share = false;
    CHECK(quota_test::play(plan, seed).largest_excess > 0);

    plan = plan_of(60, jump_factor);
    plan.jump_at = 10;
    plan.kind = fault::cut_off;
    plan.parts.reserves_for_silent_hosts = false;
    CHECK(quota_test::play(plan, seed).largest_excess > 0);

    plan = plan_of(60, twofold);
    plan.jumps_at_one_host = true;
    plan.parts.shares_follow_demand = false;
    CHECK(quota_test::play(plan, seed).least_use < least_use);
}

// Guards against hosts that overspend when half of them are cut off just after a jump.
TEST_CASE("quota_holds_while_half_of_the_hosts_are_cut_off", "[.][quota_seeds]")
{
    auto plan = plan_of(GENERATE(3, 60, 300), jump_factor);
    plan.kind = fault::cut_off;
    plan.faulty_part = 0.5;
    CHECK(quota_test::play(plan, seed).largest_excess <= 0);
}

// Guards against hosts that refuse callers below their limit while a fifth of the hosts fail.
TEST_CASE("quota_refuses_no_customer_below_its_limit_while_hosts_fail", "[quota]")
{
    auto plan = plan_of(60, 1);
    plan.kind = GENERATE(fault::cut_off, fault::restarted, fault::suspended);
    CHECK(refused_part(quota_test::play(plan, seed)) <= most_refused);
}

// Guards against a limit that does not follow the window: a customer that has used little of its
// limit, or always a little more than its rate, is refused requests that its window has room for.
TEST_CASE("quota_admits_what_is_owed_in_a_window", "[.][quota_seeds]")
{
    constexpr double most_owed_refused = 1 - least_use;
    auto plan = plan_of(GENERATE(3, 60, 300), 1);
    plan.usual_use = GENERATE(0.4, 1.15);
    plan.jump = plan.usual_use < 1 ? 2.5 / plan.usual_use : 1;
    auto const result = quota_test::play(plan, seed);
    CAPTURE(plan.hosts, plan.usual_use, result.owed);
    CHECK(result.owed_refused <= most_owed_refused * result.owed);
}

// The longer run, started by hand: all sizes and several seeds.
TEST_CASE("quota_invariants_hold_with_many_seeds", "[.][quota_seeds]")
{
    for (unsigned played = 1; played <= 10; ++played)
    {
        for (std::size_t const hosts : {3, 60, 300})
        {
            CAPTURE(played, hosts);
            CHECK(quota_test::play(plan_of(hosts, jump_factor), played).largest_excess <= 0);
            CHECK(quota_test::play(plan_of(hosts, twofold), played).least_use >= least_use);
            CHECK(refused_part(quota_test::play(plan_of(hosts, 1), played)) <= most_refused);
        }
    }
}

} // namespace pistachiohub
