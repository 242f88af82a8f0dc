#pragma once

/// @file
/// Simulates several coordinators under random requests and faults, and compares the outcomes told
/// to callers with the runs on the backend servers. Apart from a final check that all coordinators
/// are idle, only what callers, backend servers and the store observe is checked.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pistachiohub::forward_test
{

/// A defect injected into the simulated coordinators, to show that the checks detect it.
enum class defect
{
    none,
    /// A broken connection is treated as proof that the attempt was not started.
    break_is_proof,
    /// Any reply to a cancellation is treated as proof that the attempt was not started.
    cancel_is_proof,
    /// A receiver drops its record of a cancelled relay that it never dispatched.
    relay_cancel_records_dropped,
    /// A re-sent id is handled as a new request.
    resend_starts_new_request
};

/// Result of a simulated schedule.
struct schedule_result
{
    /// One line for each violated invariant.
    std::vector<std::string> violations;
    /// Number of outcomes, messages and other events by name, to check which paths were exercised.
    std::map<std::string, std::size_t> counts;
};

/// Simulates the schedule that `seed` generates.
/// @param injected_defect the defect to inject, or `none`.
[[nodiscard]] schedule_result run_schedule(std::uint64_t seed, defect injected_defect);

} // namespace pistachiohub::forward_test
