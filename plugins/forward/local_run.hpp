#pragma once

/// @file
/// State machine of one run: the dispatch of an attempt to a backend server of this failure domain,
/// for a request of this daemon or one relayed from another daemon.

#include "kernel/clock.hpp"
#include "libraries/events/forward_event.hpp"

#include <cstdint>
#include <string>

namespace pistachiohub::forward
{

struct step;

/// How long the outcome of a run is awaited after its deadline or the loss of its connection. An
/// overdue run keeps its slot for that time, because the backend server may still execute it.
inline constexpr kernel::duration follow_up_time = std::chrono::seconds(10);

/// What this daemon knows about a run.
enum class run_state
{
    running,
    /// The connection was lost before an answer; the server was asked to cancel the run.
    broken,
    /// The deadline passed without an answer; the server was asked to cancel the run.
    overdue,
    answered,
    /// Proven that the server did not start the run.
    not_run,
    /// The run may have been started; no further event is expected.
    unknown
};

/// Progress of the cancellation request to the backend server.
enum class cancel_state
{
    none,
    asked,
    /// The server could not confirm that the run was never started.
    denied
};

/// A run. An attempt that was relayed to another daemon uses only `state`, `started_at` and
/// `check_at`.
struct local_run
{
    std::uint64_t dispatch = 0;
    std::string backend_server;
    std::string address;
    std::uint16_t port = 0;
    run_state state = run_state::running;
    cancel_state cancel = cancel_state::none;
    kernel::monotonic_time started_at;
    bool holds_slot = false;
    /// The run was dispatched as suspect, so no other run may share the backend server.
    bool is_exclusive = false;
    /// When to check a pending run next; `max()` when the run has ended.
    kernel::monotonic_time check_at = kernel::monotonic_time::max();
};

/// How an event changed a run.
enum class run_change
{
    none,
    answered,
    /// The server refused the run before starting it.
    refused,
    /// No byte of the attempt was sent to the server.
    never_sent,
    /// The server cancelled the run before starting it.
    cancelled,
    /// The connection was lost; the server was asked whether it had started the run.
    broken,
    /// The connection was lost and the server could not confirm that the run was never started.
    broken_may_have_run,
    /// The deadline passed while the run was in progress.
    overdue
};

/// @returns true if the outcome of a run in this state may still become known.
[[nodiscard]] bool is_pending(run_state state);

/// Applies an event that the backend duty reported for the run. Releases the slot and requests
/// cancellation as needed.
/// @param attempt number of the attempt of request `id`.
/// @returns the change, or `none` if the event is ignored.
[[nodiscard]] run_change apply_run_end(step& current,
                                       local_run& run,
                                       identity::request_id const& id,
                                       std::uint32_t attempt,
                                       events::attempt_end end);

/// Adds the duration of an answered run to the moving average of its service.
void record_run_time(step& current, std::string const& service, local_run const& run);

/// Applies the backend server's reply to a cancellation request.
/// @param is_cancelled true if the server confirmed that the run will not be started.
/// @returns the change, or `none` if the outcome was already known or the end of the connection is
/// still awaited.
[[nodiscard]] run_change apply_run_cancel_result(step& current, local_run& run, bool is_cancelled);

/// Handles the deadline of a pending run: requests its cancellation and awaits its outcome for
/// another `follow_up_time`. A running one becomes overdue, a broken one stays broken. Does nothing
/// for a run that has ended.
void mark_overdue(step& current,
                  local_run& run,
                  identity::request_id const& id,
                  std::uint32_t attempt);

/// Ends a run whose outcome did not become known in time: its state becomes `unknown` and its slot
/// is released.
void stop_follow_up(step& current, local_run& run);

} // namespace pistachiohub::forward
