#include "plugins/limit/link_budget.hpp"
#include "plugins/limit/shift_window.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

namespace pistachiohub
{

namespace
{

kernel::monotonic_time const start{std::chrono::hours(1)};

/// A daemon's window with independent counts of its requests and shifts, to check the window
/// against.
struct counted_daemon
{
    limit::shift_window window;
    std::uint64_t requests = 0;
    std::uint64_t shifts = 0;
};

} // namespace

// I1: daemons do not exchange their shift counts. If each stays within the cap, so does the total.
TEST_CASE("shift_window_any_split_of_traffic_keeps_cap_in_total", "[limit]")
{
    rc::prop("any split over any number of daemons keeps the cap",
             []()
             {
                 configuration::policy policy;
                 policy.shift_cap = *rc::gen::inRange(0, 101) / 100.0;
                 policy.shift_rate = *rc::gen::inRange(0, 101) / 100.0;
                 std::vector<counted_daemon> daemons(*rc::gen::inRange<std::size_t>(1, 8));
                 auto const steps =
                     *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100000));
                 auto now = start;
                 std::uint64_t requests = 0;
                 std::uint64_t shifts = 0;
                 for (auto const step : steps)
                 {
                     now += std::chrono::milliseconds(step % 700);
                     auto& daemon = daemons[static_cast<std::size_t>(step) % daemons.size()];
                     limit::record_request(daemon.window, now);
                     ++daemon.requests;
                     ++requests;
                     if (step % 5 == 0 || !limit::try_shift(daemon.window, policy, now))
                         continue;
                     ++daemon.shifts;
                     ++shifts;
                     RC_ASSERT(static_cast<double>(daemon.shifts) <=
                               policy.shift_cap * static_cast<double>(daemon.requests));
                 }
                 RC_ASSERT(static_cast<double>(shifts) <=
                           policy.shift_cap * static_cast<double>(requests));
             });
}

// A sudden increase of shifted traffic would meet cold caches at the destination.
TEST_CASE("shift_window_sudden_demand_grows_no_faster_than_rate", "[limit]")
{
    configuration::policy policy;
    policy.shift_cap = 0.5;
    policy.shift_rate = 0.05;
    limit::shift_window window;
    int shifts = 0;
    for (int number = 0; number < 4000; ++number)
    {
        auto const now = start + std::chrono::milliseconds(number);
        limit::record_request(window, now);
        shifts += limit::try_shift(window, policy, now) ? 1 : 0;
        auto const elapsed = number / 1000.0;
        CHECK(shifts <= policy.shift_rate * elapsed * (number + 1));
    }
    CHECK(shifts > 300);
}

// A service with little traffic must still reach the cap when its region has failed.
TEST_CASE("shift_window_low_traffic_reaches_cap", "[limit]")
{
    configuration::policy const policy;
    limit::shift_window window;
    int shifts = 0;
    for (int number = 0; number < 60; ++number)
    {
        auto const now = start + std::chrono::milliseconds(500 * number);
        limit::record_request(window, now);
        shifts += limit::try_shift(window, policy, now) ? 1 : 0;
    }
    CHECK(shifts >= 9);
    CHECK(shifts <= 12);
}

TEST_CASE("shift_window_cancelled_shift_is_not_counted", "[limit]")
{
    configuration::policy policy;
    policy.shift_cap = 0.1;
    policy.shift_rate = 1;
    limit::shift_window window;
    for (int number = 0; number < 10; ++number)
        limit::record_request(window, start);
    CHECK_FALSE(limit::try_shift(window, policy, start));
    auto const now = start + std::chrono::seconds(1);
    CHECK(limit::try_shift(window, policy, now));
    CHECK_FALSE(limit::try_shift(window, policy, now));
    limit::cancel_shift(window, now);
    CHECK(limit::try_shift(window, policy, now));
}

// Sending more bytes than the link carries would delay all traffic between the regions.
TEST_CASE("link_budget_any_sizes_stay_under_rate", "[limit]")
{
    rc::prop("bytes spent stay under rate times time, burst and one message",
             []()
             {
                 limit::link_budget budget;
                 auto const megabits = *rc::gen::inRange(1, 1000);
                 limit::set_rate(budget, megabits, *rc::gen::inRange<std::size_t>(1, 9));
                 auto const sizes = *rc::gen::container<std::vector<std::size_t>>(
                     200, rc::gen::inRange<std::size_t>(1, 131072));
                 double spent = 0;
                 auto now = start;
                 for (auto const size : sizes)
                 {
                     now += std::chrono::microseconds(size % 3000);
                     spent += limit::try_spend(budget, size, now) ? static_cast<double>(size) : 0;
                     auto const seconds = std::chrono::duration<double>(now - start).count();
                     auto const permitted = budget.bytes_per_second * (seconds + 0.25) + 131072;
                     RC_ASSERT(spent <= permitted);
                 }
                 RC_ASSERT(spent > 0);
             });
}

TEST_CASE("link_budget_message_over_capacity_passes_on_slow_link", "[limit]")
{
    limit::link_budget budget;
    limit::set_rate(budget, 1, 2);
    CHECK(limit::try_spend(budget, 65536, start));
    CHECK_FALSE(limit::try_spend(budget, 65536, start + std::chrono::seconds(1)));
    CHECK(limit::try_spend(budget, 65536, start + std::chrono::seconds(2)));
    limit::set_rate(budget, 0, 2);
    CHECK_FALSE(limit::try_spend(budget, 1, start + std::chrono::seconds(9)));
}

} // namespace pistachiohub
