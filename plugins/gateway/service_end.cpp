#include "plugins/gateway/service_end.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

namespace
{

// Multiple of the longest recent run that a request is expected to last at most: it may wait in the
// server's queue, or reach a slower server than the earlier ones.
constexpr int run_margin = 2;
// Time for an answer to arrive that the server sends at its deadline.
constexpr auto answer_travel_time = std::chrono::milliseconds(150);

void advance_window(run_history& history, kernel::monotonic_time now)
{
    auto const elapsed = now - history.window_began_at;
    if (elapsed < run_history_window)
        return;
    history.longest_before =
        elapsed < 2 * run_history_window ? history.longest_in_window : std::nullopt;
    history.longest_in_window.reset();
    history.window_began_at = now;
}

} // namespace

void record_run(run_history& history, kernel::duration run, kernel::monotonic_time now)
{
    advance_window(history, now);
    history.longest_in_window = std::max(history.longest_in_window.value_or(run), run);
}

void record_failed_run(run_history& history, kernel::duration run, kernel::monotonic_time now)
{
    if (longest_recent_run(history, now))
        record_run(history, run, now);
}

std::optional<kernel::duration> longest_recent_run(run_history const& history,
                                                   kernel::monotonic_time now)
{
    auto current = history;
    advance_window(current, now);
    // An empty value is less than any other.
    return std::max(current.longest_in_window, current.longest_before);
}

service_end make_service_end(kernel::monotonic_time now, kernel::duration available)
{
    return {now + available - answer_travel_time, now + available};
}

kernel::monotonic_time run_deadline_in_service(service_end const& end,
                                               kernel::monotonic_time answer_deadline)
{
    return answer_deadline < end.answers_until ? answer_deadline : end.runs_until;
}

bool can_end_in_service(service_end const& end,
                        kernel::monotonic_time answer_deadline,
                        std::optional<kernel::duration> const& longest_run,
                        kernel::monotonic_time now)
{
    if (answer_deadline < end.answers_until)
        return true;
    return longest_run && now + run_margin * *longest_run < end.runs_until;
}

} // namespace pistachiohub::gateway
