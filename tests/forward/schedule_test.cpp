#include "tests/forward/schedule.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub::forward_test
{

namespace
{

constexpr std::uint64_t schedule_count = 25;

std::size_t count_violations(defect injected_defect)
{
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= schedule_count && violations == 0; ++seed)
        violations += run_schedule(seed, injected_defect).violations.size();
    return violations;
}

} // namespace

// In any order of faults, an at-most-once request must not run twice, a request told `not_run` must
// not run, an answer must not reach another caller and no slot may leak (invariants I3, I4 and I5).
TEST_CASE("schedules_with_random_faults_keep_invariants", "[forward]")
{
    std::map<std::string, std::size_t> sums;
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed)
    {
        auto const result = run_schedule(seed, defect::none);
        INFO("seed " << seed);
        for (auto const& violation : result.violations)
            FAIL_CHECK(violation);
        for (auto const& [name, count] : result.counts)
            sums[name] += count;
    }
    // The invariants are tested only on paths that the schedules exercise.
    for (auto const* const name :
         {"ran", "not_run", "unresolved", "settled_late", "relay", "submit", "fence", "retry"})
    {
        CAPTURE(name);
        CHECK(sums[name] > 100);
    }
}

// Verifies that the checks of the schedules detect each injected defect.
TEST_CASE("schedules_with_a_broken_rule_are_noticed", "[forward]")
{
    auto const injected_defect = GENERATE(defect::break_is_proof,
                                          defect::cancel_is_proof,
                                          defect::relay_cancel_records_dropped,
                                          defect::resend_starts_new_request);
    CAPTURE(static_cast<int>(injected_defect));
    CHECK(count_violations(injected_defect) > 0);
}

} // namespace pistachiohub::forward_test
