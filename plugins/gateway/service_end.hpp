#pragma once

/// @file
/// Planned stop: which requests a stopping process still sends to a backend server.

#include "kernel/clock.hpp"

#include <optional>

namespace pistachiohub::gateway
{

/// Time for which a run that was measured counts at least.
inline constexpr auto run_history_window = std::chrono::seconds(60);

/// The longest runs of similar requests in the current time window and the one before.
struct run_history
{
    kernel::monotonic_time window_began_at;
    std::optional<kernel::duration> longest_in_window;
    std::optional<kernel::duration> longest_before;
};

/// Records a run that succeeded.
/// @param run time from sending the request to the end of its answer.
void record_run(run_history& history, kernel::duration run, kernel::monotonic_time now);

/// Records a run that failed or was given up. It tells that runs last at least so long, and nothing
/// if no run is known that succeeded.
void record_failed_run(run_history& history, kernel::duration run, kernel::monotonic_time now);

/// @returns the longest run of the last one to two windows, or nothing if there was none.
[[nodiscard]] std::optional<kernel::duration> longest_recent_run(run_history const& history,
                                                                 kernel::monotonic_time now);

/// Limits of a planned stop.
struct service_end
{
    /// Time by which backend servers are told to answer.
    kernel::monotonic_time runs_until;
    /// Requests without an answer at this time are ended.
    kernel::monotonic_time answers_until;
};

/// @returns the limits of a stop that begins now.
/// @param available time for which the process may go on serving.
[[nodiscard]] service_end make_service_end(kernel::monotonic_time now, kernel::duration available);

/// @returns the time by which a backend server is told to answer: a run that takes longer than
/// expected is ended by its server, which answers, and not by the end of the process.
/// @param answer_deadline time by which the request is answered in any case.
[[nodiscard]] kernel::monotonic_time
run_deadline_in_service(service_end const& end, kernel::monotonic_time answer_deadline);

/// Decides whether a request that is sent now ends before the process does.
/// @param answer_deadline time by which the request is answered in any case.
/// @param longest_run the longest recent run of similar requests; nothing if none is known, which
/// counts as too long.
[[nodiscard]] bool can_end_in_service(service_end const& end,
                                      kernel::monotonic_time answer_deadline,
                                      std::optional<kernel::duration> const& longest_run,
                                      kernel::monotonic_time now);

} // namespace pistachiohub::gateway
