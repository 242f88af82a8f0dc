#pragma once

/// @file
/// The coordinator's part of a graceful shutdown.

#include "kernel/clock.hpp"

namespace pistachiohub::forward
{

struct step;

/// Where the shutdown stands.
enum class drain_phase
{
    serving,
    /// New requests are still accepted, because lookups handed out before may lead callers here.
    accepting,
    /// New requests are refused; requests in flight end.
    refusing,
    /// Nothing is in flight; the settlement is being flushed.
    flushing
};

/// State of the shutdown.
struct drain_state
{
    drain_phase phase = drain_phase::serving;
    /// End of the longest time to live of a lookup handed out before the shutdown began.
    kernel::monotonic_time accepts_until;
};

/// @returns true if the shutdown has come so far that new requests are refused.
[[nodiscard]] bool refuses_new_requests(step const& current);

/// @returns true if the settlement is being written for the last time, so that later outcomes would
/// not be in it.
[[nodiscard]] bool has_closed_settlement(step const& current);

/// Moves the shutdown on. Once nothing is in flight it emits `flush_settlement` with an empty
/// callback, which the duty fills in.
void advance_drain(step& current);

} // namespace pistachiohub::forward
