#include "tests/placement/placement_fleet.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cstdio>

namespace pistachiohub
{

namespace
{

using kernel::placement_rule;
using placement_test::placement_figures;
using placement_test::placement_plan;
using placement_test::server_change;

// Mean lengths of the runs with placement by load, for which the load is a part of the slots.
constexpr std::chrono::milliseconds mean_run_even{140};
constexpr std::chrono::milliseconds mean_run_skewed{105};

// Sanitizers slow the simulation by more than an order of magnitude.
#ifdef NDEBUG
constexpr unsigned seeds = 4;
#else
constexpr unsigned seeds = 1;
#endif

placement_plan make_plan(double skew,
                         double load,
                         server_change change,
                         placement_rule rule = placement_rule::stable)
{
    placement_plan plan;
    plan.skew = skew;
    plan.load = load;
    plan.nominal_run = skew > 0 ? mean_run_skewed : mean_run_even;
    plan.change = change;
    plan.rule = rule;
    return plan;
}

// Returns the sums of the counts and the means of the others over all seeds.
placement_figures play(placement_plan const& plan)
{
    placement_figures sum;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        auto const one = placement_test::placement_fleet(plan, seed).play();
        sum.moved += one.moved;
        sum.compared += one.compared;
        sum.moved_by_change += one.moved_by_change;
        sum.fewest_by_change += one.fewest_by_change;
        sum.requests += one.requests;
        sum.served += one.served;
        sum.refused += one.refused;
        sum.largest_share += one.largest_share / seeds;
        sum.warm += one.warm / seeds;
        sum.in_target += one.in_target / seeds;
        sum.mean_ms += one.mean_ms / seeds;
        sum.utilisation += one.utilisation / seeds;
        sum.outside += one.outside / seeds;
    }
    return sum;
}

void print_row(placement_plan const& plan)
{
    auto const* const rule = plan.rule == placement_rule::stable ? "stable" : "by_load";
    constexpr std::array<char const*, 3> names{"none", "join", "leave"};
    auto const row = play(plan);
    std::printf(
        "| %s | %.1f | %.2f | %s | %.4f | %.1f | %.1f | %.2f | %.3f | %.4f | %.3f | %.0f | %.2f | "
        "%.2f |\n",
        rule,
        plan.skew,
        plan.load,
        names.at(static_cast<std::size_t>(plan.change)),
        row.moved / row.compared,
        row.moved_by_change / seeds,
        row.fewest_by_change / seeds,
        row.largest_share,
        row.warm,
        row.refused / row.requests,
        row.in_target,
        row.mean_ms,
        row.utilisation,
        row.outside);
}

// Prints the rows of one rule.
void print_table(placement_rule rule)
{
    for (double const skew : {0.0, 0.8})
    {
        for (double const load : {0.8, 0.9, 0.95})
            print_row(make_plan(skew, load, server_change::none, rule));
        print_row(make_plan(skew, 0.9, server_change::join, rule));
        print_row(make_plan(skew, 0.9, server_change::leave, rule));
    }
}

} // namespace

// Load pattern: the slots are nearly exhausted. Guards against a placement that saves moves at the
// cost of cold runs, refusals or slow answers.
TEST_CASE("placement_stable_is_no_worse_for_callers", "[placement]")
{
    auto const skew = GENERATE(0.0, 0.8);
    auto const load = GENERATE(0.8, 0.9, 0.95);
    INFO("skew " << skew << ", load " << load);
    auto const before = play(make_plan(skew, load, server_change::none, placement_rule::by_load));
    auto const stable = play(make_plan(skew, load, server_change::none));
    CHECK(stable.moved / stable.compared < before.moved / before.compared);
    CHECK(stable.warm >= before.warm);
    CHECK(stable.refused <= before.refused);
    CHECK(stable.in_target >= before.in_target);
    CHECK(stable.mean_ms <= before.mean_ms);
}

// Guards against objects that change their server although nothing changes.
TEST_CASE("placement_stable_moves_one_object_in_a_hundred_at_most", "[placement]")
{
    constexpr double most = 0.01;
    auto const skew = GENERATE(0.0, 0.8);
    auto const load = GENERATE(0.8, 0.9, 0.95);
    INFO("skew " << skew << ", load " << load);
    auto const figures = play(make_plan(skew, load, server_change::none));
    CHECK(figures.moved / figures.compared <= most);
}

// Guards against objects of the other servers that move when one server joins or leaves.
TEST_CASE("placement_stable_moves_few_objects_when_servers_change", "[placement]")
{
    constexpr double most_of_fewest = 1.25;
    auto const skew = GENERATE(0.0, 0.8);
    auto const change = GENERATE(server_change::join, server_change::leave);
    INFO("skew " << skew << ", change " << static_cast<int>(change));
    auto const figures = play(make_plan(skew, 0.9, change));
    CHECK(figures.moved_by_change <= most_of_fewest * figures.fewest_by_change);
}

// Guards against shares that do not follow the slots.
TEST_CASE("placement_stable_shares_follow_the_slots", "[placement]")
{
    constexpr double largest = 1.25;
    auto const skew = GENERATE(0.0, 0.8);
    auto const load = GENERATE(0.8, 0.9, 0.95);
    INFO("skew " << skew << ", load " << load);
    CHECK(play(make_plan(skew, load, server_change::none)).largest_share <= largest);
}

// Prints the table of docs/design/placement.md. It checks nothing and runs only by its tag.
TEST_CASE("placement_figures_are_printed", "[.placement_figures]")
{
    std::printf(
        "| rule | skew | load | change | moved | moved by change | fewest | largest share | "
        "warm | refused | in target | mean ms | utilisation | outside |\n");
    print_table(placement_rule::by_load);
    print_table(placement_rule::stable);
}

} // namespace pistachiohub
