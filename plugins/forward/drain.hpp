#pragma once

/// @file
/// Draining: the coordinator's part of a graceful shutdown.

#include "kernel/clock.hpp"

namespace pistachiohub::forward
{

struct step;

/// Phase of a graceful shutdown.
enum class drain_phase
{
    serving,
    /// New requests are still accepted, because callers may hold lookup results from before the
    /// shutdown that name this host.
    accepting,
    /// New requests are refused; requests in flight continue to their end.
    refusing,
    /// No request is in flight; the settlement is being flushed.
    flushing
};

/// State of the shutdown.
struct drain_state
{
    drain_phase phase = drain_phase::serving;
    /// When the last lookup result from before the shutdown expires.
    kernel::monotonic_time accepts_until;
};

/// @returns true if new requests are refused because of the shutdown.
[[nodiscard]] bool refuses_new_requests(step const& current);

/// @returns true if the final write of the settlement has begun, so that it would not include later
/// outcomes.
[[nodiscard]] bool is_flushing_settlement(step const& current);

/// Enters the next phases of the shutdown whose conditions are met. When no request is in flight,
/// it emits `flush_settlement` with an empty callback, which `action_sender` sets.
void advance_drain(step& current);

} // namespace pistachiohub::forward
