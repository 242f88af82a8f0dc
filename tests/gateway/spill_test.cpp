#include "plugins/gateway/spill.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>
#include <deque>

namespace pistachiohub
{

namespace
{

kernel::monotonic_time const start{std::chrono::hours(1)};
using std::chrono::milliseconds;

// Updates in two seconds, the window of the shift bound.
constexpr int updates_in_window = 8;

} // namespace

// Load pattern: a region with few slots is overloaded from the first second on. Requests for
// objects that left are served, while most requests for those that stay are refused, so that the
// fraction of the runs in other regions grows several times as fast as that of the objects.
TEST_CASE("spill_crowded_region_that_refuses_keeps_the_bound_for_runs", "[gateway]")
{
    rc::prop("within two seconds the fraction of runs outside changes by at most the bound",
             []()
             {
                 constexpr double max_shift = 0.15;
                 gateway::served_fractions const served{*rc::gen::inRange(1, 101) / 100.0,
                                                        *rc::gen::inRange(20, 101) / 100.0};
                 gateway::slot_counts const slots{4, 4, 80};
                 gateway::spill_state state;
                 state.region_fraction = *rc::gen::inRange(20, 101) / 100.0;
                 std::deque<double> outside;
                 auto now = start;
                 for (auto const load_tenths :
                      *rc::gen::container<std::vector<int>>(100, rc::gen::element(1, 9)))
                 {
                     auto const near = load_tenths / 10.0;
                     gateway::update_spill(state, {near, near, 0.5}, slots, served, max_shift, now);
                     now += milliseconds(250);
                     outside.push_back(
                         gateway::outside_fraction_of_runs(state.region_fraction, served));
                     if (outside.size() > updates_in_window + 1)
                         outside.pop_front();
                     RC_ASSERT(std::abs(outside.back() - outside.front()) <=
                               max_shift * gateway::used_shift_fraction + 1e-9);
                 }
             });
}

// Load pattern: a region has a tenth of the slots and a third of the callers. Moving objects away
// step by step would take longer than the overload lasts, so the first placement is by capacity.
TEST_CASE("spill_first_placement_gives_each_slot_the_same_load", "[gateway]")
{
    gateway::spill_state small;
    gateway::start_spill(small, {4, 4, 72}, 1.0 / 3, start);
    CHECK(small.region_fraction == Approx(0.3));
    gateway::spill_state large;
    gateway::start_spill(large, {20, 20, 40}, 1.0 / 3, start);
    CHECK(large.region_fraction == Approx(1));
    gateway::spill_state without_servers;
    gateway::start_spill(without_servers, {0, 0, 0}, 1.0 / 3, start);
    CHECK(without_servers.region_fraction == Approx(1));
    CHECK_FALSE(without_servers.is_started);
}

// Guards against a region that appears to refuse all requests after a few requests at the start.
TEST_CASE("served_fraction_counts_recent_requests", "[gateway]")
{
    gateway::served_counts count;
    CHECK(gateway::served_fraction(count) == Approx(1));
    count = {1, 0};
    CHECK(gateway::served_fraction(count) == Approx(0.5));
    count = {99, 24};
    CHECK(gateway::served_fraction(count) == Approx(0.25));
    // More sends than assigned requests give a fraction of at most 1.
    count = {2, 8};
    CHECK(gateway::served_fraction(count) == Approx(1));
    count = {100, 0};
    for (int update = 0; update < 10 * updates_in_window; ++update)
        gateway::decay(count);
    CHECK(gateway::served_fraction(count) > 0.95);
}

// Load pattern: one failure domain has fewer slots than its callers need. Objects leave in small
// steps, and never more than the permitted fraction changes its region in two seconds.
TEST_CASE("spill_any_load_keeps_the_bound_on_shifts", "[gateway]")
{
    rc::prop("within two seconds the region fraction changes by at most the bound",
             []()
             {
                 constexpr double max_shift = 0.15;
                 gateway::spill_state state;
                 std::deque<std::pair<kernel::monotonic_time, double>> history;
                 auto now = start;
                 for (auto const step :
                      *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 30000)))
                 {
                     now += milliseconds(step % 600);
                     gateway::utilisation measured;
                     measured.own_region = (step % 13) / 10.0;
                     measured.own_domain = (step % 17) / 10.0;
                     measured.everywhere = (step % 11) / 10.0;
                     gateway::slot_counts const slots{
                         static_cast<double>(step % 7), 3, static_cast<double>(step % 50)};
                     gateway::update_spill(state, measured, slots, {}, max_shift, now);
                     history.emplace_back(now, state.region_fraction);
                     while (history.front().first < now - std::chrono::seconds(2))
                         history.pop_front();
                     for (auto const& [time, fraction] : history)
                         RC_ASSERT(std::abs(fraction - state.region_fraction) <=
                                   max_shift * gateway::used_shift_fraction + 1e-9);
                 }
             });
}

TEST_CASE("spill_domain_fraction_falls_at_high_load_and_recovers", "[gateway]")
{
    gateway::spill_state state;
    gateway::slot_counts const slots{4, 12, 40};
    auto now = start;
    gateway::update_spill(state, {1.0, 0.7, 0.5}, slots, {}, 0.15, now);
    for (int step = 0; step < 8; ++step)
        gateway::update_spill(state, {1.0, 0.7, 0.5}, slots, {}, 0.15, now += milliseconds(250));
    CHECK(state.domain_fraction == Approx(0.6));
    CHECK(state.region_fraction == Approx(1.0));
    for (int step = 0; step < 80; ++step)
        gateway::update_spill(state, {0.3, 0.3, 0.3}, slots, {}, 0.15, now += milliseconds(250));
    CHECK(state.domain_fraction == Approx(1.0));
}

// Load pattern: callers of all failure domains of a region request the same objects, and a server
// is slow at an object that it has not cached. All daemons of the region must choose the same
// server, whatever utilisation each of them measures in its own domain.
TEST_CASE("spill_daemons_of_a_region_agree_on_one_server", "[gateway]")
{
    rc::prop("a slot of the region has one weight for all of its daemons",
             []()
             {
                 gateway::spill_state state;
                 state.domain_fraction = *rc::gen::inRange(0, 101) / 100.0;
                 state.region_fraction = *rc::gen::inRange(50, 101) / 100.0;
                 auto const first = *rc::gen::inRange(0, 40);
                 auto const second = *rc::gen::inRange(1, 40);
                 auto const far = *rc::gen::inRange(0, 200);
                 auto const here = gateway::weights_of(
                     state, {static_cast<double>(first), static_cast<double>(second), 1.0 * far});
                 // The same region as a daemon of its other failure domain sees it, with another
                 // load there.
                 state.domain_fraction = 1;
                 auto const there = gateway::weights_of(
                     state, {static_cast<double>(second), static_cast<double>(first), 1.0 * far});
                 RC_ASSERT(here.own_region == 1);
                 RC_ASSERT(there.own_region == 1);
                 RC_ASSERT(here.other_regions == there.other_regions);
             });
}

TEST_CASE("spill_weights_place_the_region_fraction_at_home", "[gateway]")
{
    gateway::spill_state state;
    state.region_fraction = 0.9;
    gateway::slot_counts const slots{8, 24, 64};
    auto const weights = gateway::weights_of(state, slots);
    auto const home = (slots.own_domain + slots.own_region) * weights.own_region;
    auto const far = slots.other_regions * weights.other_regions;
    CHECK(home / (home + far) == Approx(0.9));
}

// A region without own servers uses those of the other regions from the start.
TEST_CASE("spill_weights_without_servers_at_home_use_the_others", "[gateway]")
{
    gateway::spill_state const state;
    CHECK(gateway::weights_of(state, {0, 0, 8}).other_regions == Approx(1));
    CHECK(gateway::weights_of(state, {0, 8, 8}).other_regions == Approx(0));
}

// When every failure domain is overloaded, moving objects only loses their cached copies.
TEST_CASE("spill_high_load_everywhere_moves_no_objects", "[gateway]")
{
    gateway::spill_state state;
    gateway::slot_counts const slots{4, 12, 40};
    auto now = start;
    for (int step = 0; step < 20; ++step)
        gateway::update_spill(state, {0.95, 0.95, 0.95}, slots, {}, 0.15, now += milliseconds(250));
    CHECK(state.domain_fraction == Approx(1.0));
    CHECK(state.region_fraction == Approx(1.0));
}

} // namespace pistachiohub
