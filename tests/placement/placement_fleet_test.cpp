#include "tests/placement/placement_fleet.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cstdio>

namespace pistachiohub
{

namespace
{

using placement_test::placement_figures;
using placement_test::placement_plan;
using placement_test::server_change;

// Mean lengths of the runs with placement by load, for which the load is a part of the slots.
constexpr std::chrono::milliseconds mean_run_even{140};
constexpr std::chrono::milliseconds mean_run_skewed{105};

constexpr unsigned seeds = 5;

placement_plan make_plan(double skew, double load, server_change change)
{
    placement_plan plan;
    plan.skew = skew;
    plan.load = load;
    plan.nominal_run = skew > 0 ? mean_run_skewed : mean_run_even;
    plan.change = change;
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
    constexpr std::array<char const*, 3> names{"none", "join", "leave"};
    auto const row = play(plan);
    std::printf(
        "| %.1f | %.2f | %s | %.4f | %.1f | %.1f | %.2f | %.3f | %.4f | %.3f | %.0f | %.2f | "
        "%.2f |\n",
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

} // namespace

// Prints the table of docs/design/placement.md. It checks nothing and runs only by its tag.
TEST_CASE("placement_figures_are_printed", "[.placement_figures]")
{
    std::printf(
        "| skew | load | change | moved | moved by change | fewest | largest share | warm | "
        "refused | in target | mean ms | utilisation | outside |\n");
    for (double const skew : {0.0, 0.8})
    {
        for (double const load : {0.8, 0.9, 0.95})
            print_row(make_plan(skew, load, server_change::none));
        print_row(make_plan(skew, 0.9, server_change::join));
        print_row(make_plan(skew, 0.9, server_change::leave));
    }
}

} // namespace pistachiohub
