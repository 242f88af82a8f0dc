#include "plugins/admission/admission.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <random>

namespace pistachiohub
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The shares of one service, and requests that ask for its slots.
class admission_fixture
{
protected:
    kernel::monotonic_time m_now{std::chrono::hours(1)};
    admission::shares m_shares;

    [[nodiscard]] admission::claim claim_of(std::string_view customer,
                                            std::string_view route = "r",
                                            std::uint32_t customer_priority = 0,
                                            std::uint32_t route_priority = 0) const
    {
        return {customer_priority,
                route_priority,
                customer,
                route,
                m_now,
                m_now + milliseconds(240),
                milliseconds(400)};
    }

    void record(admission::claim const& claim, int asked, int started)
    {
        for (int count = 0; count < asked; ++count)
            admission::record_asked(m_shares, claim, m_now);
        for (int count = 0; count < started; ++count)
            admission::record_started(m_shares, claim, m_now);
    }

    [[nodiscard]] bool is_before(admission::claim const& left, admission::claim const& right) const
    {
        return admission::rank_of(m_shares, left, m_now) <
               admission::rank_of(m_shares, right, m_now);
    }

    [[nodiscard]] admission::wait_input wait_of(double wait_seconds, bool is_queued) const
    {
        return {claim_of(""), wait_seconds, 0, 0.15, is_queued, 0};
    }
};

} // namespace

TEST_CASE_METHOD(admission_fixture, "admission_orders_by_customer_and_then_by_route", "[admission]")
{
    CHECK(is_before(claim_of("a", "r", 0, 9), claim_of("b", "r", 1, 0)));
    CHECK(is_before(claim_of("a", "r", 1, 0), claim_of("b", "r", 1, 1)));
    auto early = claim_of("a");
    early.latest_start -= milliseconds(1);
    CHECK(is_before(early, claim_of("a")));
}

// Load pattern: a large customer asks for more than all slots.
TEST_CASE_METHOD(admission_fixture, "admission_customer_that_got_less_goes_first", "[admission]")
{
    record(claim_of("large"), 100, 50);
    record(claim_of("small"), 5, 3);
    CHECK(is_before(claim_of("small"), claim_of("large")));
    m_now += seconds(60);
    record(claim_of("small"), 5, 3);
    CHECK(is_before(claim_of("large"), claim_of("small")));
}

// Load pattern: urgent requests take all slots.
TEST_CASE_METHOD(admission_fixture, "admission_starved_kind_goes_before_urgent_ones", "[admission]")
{
    record(claim_of("", "urgent"), 50, 50);
    record(claim_of("", "other", 0, 2), 50, 14);
    CHECK(is_before(claim_of("", "urgent"), claim_of("", "other", 0, 2)));
    record(claim_of("", "other", 0, 2), 50, 0);
    CHECK(is_before(claim_of("", "other", 0, 2), claim_of("", "urgent")));
}

// Each invariant of fairness is checked on one slot that is given away repeatedly.
TEST_CASE("admission_any_demand_gives_max_min_shares", "[admission]")
{
    rc::prop("a customer below its fair share gets all it asks for",
             []()
             {
                 auto const seed = *rc::gen::arbitrary<unsigned>();
                 std::mt19937 random(seed);
                 kernel::monotonic_time now{std::chrono::hours(1)};
                 admission::shares shares;
                 std::array<std::string, 3> const names{"large", "middle", "small"};
                 std::array<unsigned, 3> const asks_in_100{90, 40, 10};
                 std::array<int, 3> asked{};
                 std::array<int, 3> started{};
                 for (int round = 0; round < 2000; ++round, now += milliseconds(10))
                 {
                     std::vector<std::pair<admission::rank, std::size_t>> waiting;
                     for (std::size_t who = 0; who < names.size(); ++who)
                     {
                         if (random() % 100 >= asks_in_100[who])
                             continue;
                         admission::claim const claim{0, 0, names[who], "r", now, now, seconds(1)};
                         admission::record_asked(shares, claim, now);
                         ++asked[who];
                         waiting.emplace_back(admission::rank_of(shares, claim, now), who);
                     }
                     if (waiting.empty())
                         continue;
                     auto const next = std::min_element(waiting.begin(),
                                                        waiting.end(),
                                                        [](auto const& left, auto const& right)
                                                        {
                                                            return left.first < right.first;
                                                        })
                                           ->second;
                     admission::record_started(shares, {0, 0, names[next], "r", now, now, {}}, now);
                     ++started[next];
                 }
                 RC_ASSERT(started[2] >= 0.95 * asked[2]);
                 auto const all = static_cast<double>(started[0] + started[1] + started[2]) /
                                  (asked[0] + asked[1] + asked[2]);
                 for (std::size_t who = 0; who < names.size(); ++who)
                     RC_ASSERT(static_cast<double>(started[who]) / asked[who] >= 0.25 * all);
             });
}

TEST_CASE_METHOD(admission_fixture,
                 "admission_wait_beyond_the_latest_start_is_refused",
                 "[admission]")
{
    CHECK_FALSE(admission::is_too_late(wait_of(0.23, false), m_now));
    CHECK(admission::is_too_late(wait_of(0.25, false), m_now));
    // Callers need their refusal early.
    CHECK(admission::is_too_late(wait_of(0.25, true), m_now));
    auto const waited = wait_of(0.26, true);
    m_now += milliseconds(60);
    // Later, a request that can still meet its target keeps its place.
    CHECK_FALSE(admission::is_too_late(waited, m_now));
    CHECK(admission::is_too_late(waited, m_now + milliseconds(10)));
}

TEST_CASE_METHOD(admission_fixture, "admission_latest_start_leaves_time_for_the_run", "[admission]")
{
    auto const start = [this](admission::work_estimate const& work)
    {
        return std::chrono::duration<double>(
                   admission::latest_start(m_now, milliseconds(400), work) - m_now)
            .count();
    };
    CHECK(start({}) == Approx(0.24));
    CHECK(start({0.2, 0}) == Approx(0.2));
    CHECK(start({0.15, 0.04}) == Approx(0.17));
    CHECK(start({2, 0}) == Approx(0.14));
}

TEST_CASE_METHOD(admission_fixture, "admission_delay_is_learned_and_forgotten", "[admission]")
{
    CHECK(admission::delay_factor(m_shares, claim_of("a"), m_now) == 1);
    for (int count = 0; count < 50; ++count)
        admission::record_delay(m_shares, claim_of("a"), 0.05, 0.15, m_now);
    CHECK(admission::delay_factor(m_shares, claim_of("a"), m_now) == Approx(3).margin(0.1));
    CHECK(admission::delay_factor(m_shares, claim_of("b"), m_now) == 1);
    CHECK(admission::delay_factor(m_shares, claim_of("a"), m_now + seconds(10)) ==
          Approx(1).margin(0.01));
}

// Load pattern: many callers are refused at the same moment.
TEST_CASE_METHOD(admission_fixture,
                 "admission_returns_are_spread_over_the_free_slots",
                 "[admission]")
{
    admission::return_schedule schedule;
    admission::return_input const input{0.1, 0.005, 100, seconds(3)};
    std::vector<kernel::duration> told;
    for (int count = 0; count < 200; ++count)
        told.push_back(admission::plan_return(schedule, input, m_now));
    CHECK(told.front() >= milliseconds(99));
    // Each 50 ms have at most the slots that become free within it.
    for (auto from = milliseconds(0); from < milliseconds(950); from += milliseconds(50))
        CHECK(std::count_if(told.begin(),
                            told.end(),
                            [from](kernel::duration at)
                            {
                                return at >= from && at < from + milliseconds(50);
                            }) <= 10);
    CHECK(*std::max_element(told.begin(), told.end()) <= seconds(1));
}

} // namespace pistachiohub
