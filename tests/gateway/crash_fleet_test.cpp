#include "tests/gateway/crash_fleet.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

// From the rules: further sends of a request that has crashed three servers.
constexpr std::size_t permitted_sends = 3;
constexpr unsigned seeds = 50;

void require_bound_holds(gateway_test::crash_plan const& plan)
{
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        gateway_test::crash_fleet fleet(plan, seed);
        fleet.play();
        INFO("seed " << seed << ", " << fleet.crashes() << " servers crashed");
        // A fleet that sends the request to no server would hold any bound.
        CHECK(fleet.crashes() >= 3);
        CHECK(fleet.late_arrivals() <= permitted_sends);
    }
}

} // namespace

// Guards against a request that goes on to crash servers after it has crashed three of them.
TEST_CASE("crashing_request_is_refused_by_the_whole_fleet", "[gateway]")
{
    require_bound_holds({});
}

// Guards against a quarantine that ends with the processes that know of it.
TEST_CASE("crashing_request_is_refused_after_hosts_restarted", "[gateway]")
{
    gateway_test::crash_plan plan;
    plan.restarts_in_turn = true;
    require_bound_holds(plan);
}

// Guards against a quarantine that ends when all processes are killed at the same moment.
TEST_CASE("crashing_request_is_refused_after_all_hosts_were_killed", "[gateway]")
{
    gateway_test::crash_plan plan;
    plan.kills_all = true;
    require_bound_holds(plan);
}

// Guards against crashes that are counted for each service apart, when the route of the request
// moves from one to the other.
TEST_CASE("crashing_request_is_refused_after_its_route_moved", "[gateway]")
{
    gateway_test::crash_plan plan;
    plan.moves_route = true;
    require_bound_holds(plan);
}

// Guards against an error of a server that takes the earlier crashes from the count.
TEST_CASE("crashing_request_is_refused_though_servers_answer_it_with_errors", "[gateway]")
{
    gateway_test::crash_plan plan;
    plan.failing_part = 0.4;
    require_bound_holds(plan);
}

// Guards against a server that restarts under its id, is used again before its new registration is
// read and crashes without being counted.
TEST_CASE("crashing_request_is_refused_when_servers_restart_under_their_ids", "[gateway]")
{
    gateway_test::crash_plan plan;
    plan.keeps_ids = true;
    require_bound_holds(plan);
}

// Guards against a count of crashes for each network address of the caller, so that each address
// ends three servers.
TEST_CASE("crashing_request_is_refused_from_any_address", "[gateway]")
{
    gateway_test::crash_plan plan;
    plan.changes_address = true;
    require_bound_holds(plan);
}

// Guards against gaps between the counts when the disruptions above overlap.
TEST_CASE("crashing_request_is_refused_under_overlapping_disruptions", "[gateway]")
{
    gateway_test::crash_plan plan;
    plan.restarts_in_turn = true;
    plan.kills_all = true;
    plan.moves_route = true;
    plan.failing_part = 0.3;
    plan.keeps_ids = true;
    require_bound_holds(plan);
}

} // namespace pistachiohub
