#include "tests/forward/schedule.hpp"

#include <catch2/catch.hpp>

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
    std::map<std::string, std::size_t> sums;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed)
    {
        auto const result = play_schedule(seed, defect::none);
        INFO("seed " << seed);
        for (auto const& violation : result.violations)
            FAIL_CHECK(violation);
        for (auto const& [name, count] : result.counts)
            sums[name] += count;
    }
    // Schedules that never reach a path prove nothing about it.
    for (auto const* const name :
         {"ran", "not_run", "unresolved", "settled_late", "relay", "submit", "fence", "retry"})
    {
        CAPTURE(name);
        CHECK(sums[name] > 100);
    }
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
