#pragma once

/// @file
/// One run of a request at a backend server of this failure domain, for an own or a relayed
/// request.

#include "kernel/clock.hpp"
#include "libraries/events/forward_event.hpp"

#include <cstdint>
#include <string>

namespace pistachiohub::forward
{

struct step;

/// How long a run is followed after its deadline. Its slot stays taken until then, because the
/// backend server may still be busy with it.
inline constexpr kernel::duration follow_up_time = std::chrono::seconds(10);

/// What is known of a run.
enum class run_state
{
    running,
    /// The connection ended before an answer; the server was asked to cancel.
    broken,
    /// The deadline passed; the server was asked to cancel.
    overdue,
    answered,
    /// Proven not to have been started.
    not_run,
    /// May have run; nothing more is expected.
    unknown
};

/// Whether the backend server was asked to cancel.
enum class cancel_state
{
    none,
    asked,
    /// The server did not prove that the run was not started.
    denied
};

/// A run. Relayed attempts of an own request use the state only.
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
    bool is_exclusive = false;
    /// Next time at which the run needs attention.
    kernel::monotonic_time check_at = kernel::monotonic_time::max();
};

/// What an event changed.
enum class run_change
{
    none,
    answered,
    /// Refused by the server before start.
    refused,
    /// No byte was sent.
    never_sent,
    /// The server cancelled the run before start.
    cancelled,
    /// The connection broke; whether the run was started is being asked.
    broken,
    /// The connection broke and the server did not prove that the run was not started.
    broken_unproven,
    /// The backend duty reports the deadline.
    overdue
};

/// @returns true if something may still be learnt soon about a run in this state.
[[nodiscard]] bool is_pending(run_state state);

/// Applies the end of the run; frees its slot and asks for cancellation as needed.
[[nodiscard]] run_change apply(step& current,
                               local_run& run,
                               identity::request_id const& id,
                               std::uint32_t attempt,
                               events::attempt_end end);

/// Includes the time of an answered run in the average of its service.
void record_run_time(step& current, std::string const& service, local_run const& run);

/// Applies the result of a cancellation.
[[nodiscard]] run_change apply(step& current, local_run& run, bool is_cancelled);

/// Asks for cancellation because the deadline has passed, and follows the run for a while.
void overrun(step& current, local_run& run, identity::request_id const& id, std::uint32_t attempt);

/// Ends the follow-up of a run from which nothing came.
void give_up(step& current, local_run& run);

} // namespace pistachiohub::forward
