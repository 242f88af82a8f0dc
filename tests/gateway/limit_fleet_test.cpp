#include "tests/gateway/limit_fleet.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

// Sanitizers slow the simulation by more than an order of magnitude. Their builds look for faults
// of memory; the release build plays all seeds.
#ifdef NDEBUG
constexpr unsigned seeds = 20;
constexpr unsigned seeds_of_many_hosts = seeds;
#else
constexpr unsigned seeds = 2;
constexpr unsigned seeds_of_many_hosts = 1;
#endif
// Part of a limit that is used while callers ask for more.
constexpr double least_use = 0.7;

void require_limit_holds(gateway_test::limit_plan const& plan, unsigned played_seeds = seeds)
{
    for (unsigned seed = 1; seed <= played_seeds; ++seed)
    {
        gateway_test::limit_fleet fleet(plan, seed);
        fleet.play();
        INFO("seed " << seed << ", limit " << plan.limit);
        CHECK(fleet.largest_excess() <= 0);
    }
}

} // namespace

// Guards against a server that gets its usual load though its answers name a limit.
TEST_CASE("limit_of_a_server_holds_over_all_hosts", "[gateway]")
{
    gateway_test::limit_plan plan;
    plan.limit = GENERATE(0.0, 0.1, 1.3, 1.5, 4.0);
    require_limit_holds(plan);
}

// Guards against hosts whose shares of a limit add up to more than the limit while some of them
// restart.
TEST_CASE("limit_of_a_server_holds_while_hosts_restart", "[gateway]")
{
    gateway_test::limit_plan plan;
    plan.restarts_hosts = true;
    require_limit_holds(plan);
}

// Load pattern: many hosts of a region know the same server, each with a small part of its load.
TEST_CASE("limit_of_a_server_holds_in_a_fleet_of_many_hosts", "[gateway]")
{
    gateway_test::limit_plan plan;
    plan.hosts_per_region = 20;
    plan.limit = GENERATE(0.5, 1.5, 10.0);
    plan.load = 500;
    plan.servers_per_region = 20;
    plan.limit_begins = std::chrono::seconds(3);
    plan.length = std::chrono::seconds(20);
    require_limit_holds(plan, seeds_of_many_hosts);
}

// Load pattern: a single host has the whole load of the server.
TEST_CASE("limit_of_a_server_holds_for_a_single_host", "[gateway]")
{
    gateway_test::limit_plan plan;
    plan.regions = 1;
    plan.hosts_per_region = 1;
    plan.limit = GENERATE(0.5, 1.5, 10.0);
    plan.load = 80;
    require_limit_holds(plan);
}

// Guards against a limit that holds because nothing is sent at all.
TEST_CASE("limit_of_a_server_is_used", "[gateway]")
{
    gateway_test::limit_plan plan;
    plan.limit = GENERATE(1.5, 4.0);
    double use = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        gateway_test::limit_fleet fleet(plan, seed);
        fleet.play();
        use += fleet.use_of_limit();
    }
    CHECK(use / seeds >= least_use);
    CHECK(use / seeds <= 1);
}

// Guards against a server that is not used again when it names no limit any more.
TEST_CASE("limit_of_a_server_ends_when_it_names_none", "[gateway]")
{
    gateway_test::limit_plan plan;
    plan.limit_ends = std::chrono::seconds(20);
    plan.length = std::chrono::seconds(50);
    double before = 0;
    double later = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        gateway_test::limit_fleet fleet(plan, seed);
        fleet.play();
        before += fleet.rate_at_limited_servers(std::chrono::seconds(2), std::chrono::seconds(8));
        later += fleet.rate_at_limited_servers(std::chrono::seconds(40), std::chrono::seconds(50));
    }
    CHECK(later >= least_use * before);
}

} // namespace pistachiohub
