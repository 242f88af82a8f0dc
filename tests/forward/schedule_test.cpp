#include "tests/forward/schedule.hpp"

#include <catch2/catch.hpp>

#include <iostream>

namespace pistachiohub::forward_test
{

namespace
{

constexpr std::uint64_t schedules = 25;

std::size_t count_violations(defect broken_rule)
{
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= schedules && violations == 0; ++seed)
        violations += play_schedule(seed, broken_rule).violations.size();
    return violations;
}

} // namespace

// Faults in any order must not make an at-most-once id run twice, a `not_run` false, an answer
// reach another caller or a slot get lost (I3, I4, I5).
TEST_CASE("schedules_with_random_faults_keep_invariants", "[forward]")
{
    schedule_result sum;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed)
    {
        auto const result = play_schedule(seed, defect::none);
        INFO("seed " << seed);
        for (auto const& violation : result.violations)
            FAIL_CHECK(violation);
        sum.answered += result.answered;
        sum.told_not_run += result.told_not_run;
        sum.told_unresolved += result.told_unresolved;
        sum.settled_late += result.settled_late;
        sum.relayed += result.relayed;
        sum.forwarded += result.forwarded;
        sum.fenced += result.fenced;
        sum.retried += result.retried;
    }
    // Schedules that never reach a path prove nothing about it.
    CHECK(sum.answered > 100);
    CHECK(sum.told_not_run > 100);
    CHECK(sum.told_unresolved > 100);
    CHECK(sum.settled_late > 10);
    CHECK(sum.relayed > 10);
    CHECK(sum.forwarded > 100);
    CHECK(sum.fenced > 10);
    CHECK(sum.retried > 10);
}

// A check that cannot fail proves nothing.
TEST_CASE("schedules_with_a_broken_rule_are_noticed", "[forward]")
{
    auto const broken_rule = GENERATE(defect::break_is_proof,
                                      defect::cancel_is_proof,
                                      defect::tombstones_forgotten,
                                      defect::resend_starts_anew);
    CAPTURE(static_cast<int>(broken_rule));
    CHECK(count_violations(broken_rule) > 0);
}

} // namespace pistachiohub::forward_test
