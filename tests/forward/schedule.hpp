#pragma once

/// @file
/// Plays a random schedule of several coordinators under faults and checks what callers were told
/// against what backend servers did. The checks read only the backend servers' and callers' side.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pistachiohub::forward_test
{

/// A rule that the coordinators of a schedule break, to show that the checks notice it.
enum class defect
{
    none,
    /// A broken connection is taken as proof that the attempt was not started.
    break_is_proof,
    /// Any reply to a cancellation is taken as such proof.
    cancel_is_proof,
    /// A receiver forgets which relays it has cancelled.
    tombstones_forgotten,
    /// A re-sent id starts a new request.
    resend_starts_anew
};

/// What happened in a schedule.
struct schedule_result
{
    std::vector<std::string> violations;
    /// Counts of answers and messages by name, to see which paths were reached.
    std::map<std::string, std::size_t> counts;
};

/// Plays the schedule of `seed`.
[[nodiscard]] schedule_result play_schedule(std::uint64_t seed, defect broken_rule);

} // namespace pistachiohub::forward_test
