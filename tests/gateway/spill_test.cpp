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

// Updates in two seconds, the window of the bound on shifts.
constexpr int updates_in_window = 8;

} // namespace

// Load pattern: a region with few slots is crowded from the first second on. Objects that leave are
// served, while most requests for those that stay find no room, so that the runs leave several
// times as fast as the objects.
TEST_CASE("spill_crowded_region_that_refuses_keeps_the_bound_for_runs", "[gateway]")
{
    rc::prop(
        "within two seconds the part of the runs outside changes by less than the bound",
        []()
        {
            constexpr double most_shift = 0.15;
            gateway::served_parts const served{*rc::gen::inRange(1, 101) / 100.0,
                                               *rc::gen::inRange(20, 101) / 100.0};
            gateway::slot_counts const slots{4, 4, 80};
            gateway::spill_state state;
            state.region_part = *rc::gen::inRange(20, 101) / 100.0;
            std::deque<double> outside;
            auto now = start;
            for (auto const load :
                 *rc::gen::container<std::vector<int>>(100, rc::gen::element(1, 9)))
            {
                auto const near = load / 10.0;
                gateway::update_spill(state, {near, near, 0.5}, slots, served, most_shift, now);
                now += milliseconds(250);
                outside.push_back(gateway::outside_part_of_runs(state.region_part, served));
                if (outside.size() > updates_in_window + 1)
                    outside.pop_front();
                RC_ASSERT(std::abs(outside.back() - outside.front()) <=
                          most_shift * gateway::share_of_shift + 1e-9);
            }
        });
}

// Load pattern: a region has a tenth of the slots and a third of the callers. Moving objects there
// step by step would take longer than its crowd lasts, so the first placement is by capacity.
TEST_CASE("spill_first_placement_gives_each_slot_the_same_load", "[gateway]")
{
    gateway::spill_state small;
    gateway::start_spill(small, {4, 4, 72}, 1.0 / 3, start);
    CHECK(small.region_part == Approx(0.3));
    gateway::spill_state large;
    gateway::start_spill(large, {20, 20, 40}, 1.0 / 3, start);
    CHECK(large.region_part == Approx(1));
    gateway::spill_state without_servers;
    gateway::start_spill(without_servers, {0, 0, 0}, 1.0 / 3, start);
    CHECK(without_servers.region_part == Approx(1));
    CHECK_FALSE(without_servers.is_started);
}

// A few requests at the start must not look like a region that refuses all.
TEST_CASE("served_part_counts_recent_requests", "[gateway]")
{
    gateway::served_count count;
    CHECK(gateway::served_part(count) == Approx(1));
    count = {1, 0};
    CHECK(gateway::served_part(count) == Approx(0.5));
    count = {99, 24};
    CHECK(gateway::served_part(count) == Approx(0.25));
    // A second send to a server that no request wanted first does not count as more than all.
    count = {2, 8};
    CHECK(gateway::served_part(count) == Approx(1));
    count = {100, 0};
    for (int update = 0; update < 10 * updates_in_window; ++update)
        gateway::fade(count);
    CHECK(gateway::served_part(count) > 0.95);
}

// Load pattern: one failure domain has fewer slots than its callers need. Objects leave step by
// step, the same ones, and never more than the permitted part changes its region in two seconds.
TEST_CASE("spill_any_load_keeps_the_bound_on_shifts", "[gateway]")
{
    rc::prop("within two seconds the part of the region changes by less than the bound",
             []()
             {
                 constexpr double most_shift = 0.15;
                 gateway::spill_state state;
                 std::deque<std::pair<kernel::monotonic_time, double>> history;
                 auto now = start;
                 for (auto const step :
                      *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 30000)))
                 {
                     now += milliseconds(step % 600);
                     gateway::utilisation seen;
                     seen.own_region = (step % 13) / 10.0;
                     seen.own_domain = (step % 17) / 10.0;
                     seen.everywhere = (step % 11) / 10.0;
                     gateway::slot_counts const slots{
                         static_cast<double>(step % 7), 3, static_cast<double>(step % 50)};
                     gateway::update_spill(state, seen, slots, {}, most_shift, now);
                     history.emplace_back(now, state.region_part);
                     while (history.front().first < now - std::chrono::seconds(2))
                         history.pop_front();
                     for (auto const& [time, part] : history)
                         RC_ASSERT(std::abs(part - state.region_part) <=
                                   most_shift * gateway::share_of_shift + 1e-9);
                 }
             });
}

TEST_CASE("spill_crowded_domain_sends_objects_away_and_takes_them_back", "[gateway]")
{
    gateway::spill_state state;
    gateway::slot_counts const slots{4, 12, 40};
    auto now = start;
    gateway::update_spill(state, {1.0, 0.7, 0.5}, slots, {}, 0.15, now);
    for (int step = 0; step < 8; ++step)
        gateway::update_spill(state, {1.0, 0.7, 0.5}, slots, {}, 0.15, now += milliseconds(250));
    CHECK(state.domain_part == Approx(0.6));
    CHECK(state.region_part == Approx(1.0));
    for (int step = 0; step < 80; ++step)
        gateway::update_spill(state, {0.3, 0.3, 0.3}, slots, {}, 0.15, now += milliseconds(250));
    CHECK(state.domain_part == Approx(1.0));
}

// Load pattern: callers of all failure domains of a region ask for the same objects, and a server
// is slow at an object that it has not seen. All daemons of the region must choose the same server,
// however busy each believes its own domain to be.
TEST_CASE("spill_daemons_of_a_region_agree_on_one_server", "[gateway]")
{
    rc::prop("a slot of the region has one weight for all of its daemons",
             []()
             {
                 gateway::spill_state state;
                 state.domain_part = *rc::gen::inRange(0, 101) / 100.0;
                 state.region_part = *rc::gen::inRange(50, 101) / 100.0;
                 auto const first = *rc::gen::inRange(0, 40);
                 auto const second = *rc::gen::inRange(1, 40);
                 auto const far = *rc::gen::inRange(0, 200);
                 auto const here = gateway::weights_of(
                     state, {static_cast<double>(first), static_cast<double>(second), 1.0 * far});
                 // The same region, seen from its other failure domain, under other loads there.
                 state.domain_part = 1;
                 auto const there = gateway::weights_of(
                     state, {static_cast<double>(second), static_cast<double>(first), 1.0 * far});
                 RC_ASSERT(here.own_region == 1);
                 RC_ASSERT(there.own_region == 1);
                 RC_ASSERT(here.other_regions == there.other_regions);
             });
}

TEST_CASE("spill_weights_keep_the_wanted_part_at_home", "[gateway]")
{
    gateway::spill_state state;
    state.region_part = 0.9;
    gateway::slot_counts const slots{8, 24, 64};
    auto const weights = gateway::weights_of(state, slots);
    auto const home = (slots.own_domain + slots.own_region) * weights.own_region;
    auto const far = slots.other_regions * weights.other_regions;
    CHECK(home / (home + far) == Approx(0.9));
}

// A region without servers of its own uses the others from the start.
TEST_CASE("spill_weights_without_servers_at_home_use_the_others", "[gateway]")
{
    gateway::spill_state const state;
    CHECK(gateway::weights_of(state, {0, 0, 8}).other_regions == Approx(1));
    CHECK(gateway::weights_of(state, {0, 8, 8}).other_regions == Approx(0));
}

// When every failure domain is crowded, moving objects only makes them cold.
TEST_CASE("spill_crowded_everywhere_keeps_objects_at_home", "[gateway]")
{
    gateway::spill_state state;
    gateway::slot_counts const slots{4, 12, 40};
    auto now = start;
    for (int step = 0; step < 20; ++step)
        gateway::update_spill(state, {0.95, 0.95, 0.95}, slots, {}, 0.15, now += milliseconds(250));
    CHECK(state.domain_part == Approx(1.0));
    CHECK(state.region_part == Approx(1.0));
}

} // namespace pistachiohub
