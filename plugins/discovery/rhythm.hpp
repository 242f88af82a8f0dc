#pragma once

/// @file
/// How often the kinds of the store's objects are read.

#include "kernel/gateway_settings.hpp"

#include <chrono>

namespace pistachiohub::discovery
{

/// How often one kind is read. A change is in force within its bound also when the store forgets
/// its history while a watch waits (the next call finds the change then), and when another daemon
/// from which this one reads is lost at any moment: plan_read() asks the store early enough that
/// its answer is there at the age `answer_due`.
struct feed_rhythm
{
    /// How long a watch of the store waits for a change.
    std::chrono::milliseconds watch_wait;
    /// Shortest time between two calls of the store. Kinds that change all the time are read in
    /// batches.
    std::chrono::milliseconds spacing;
    /// Age above which a daemon passes nothing on: two calls of the store fit.
    std::chrono::milliseconds longest_age;
    /// How long a watch of another daemon waits for a change.
    std::chrono::milliseconds relay_wait;
    /// Time after which the answer of another daemon is late.
    std::chrono::milliseconds relay_timeout;
    /// Age of what is known at which an answer of the store must be there.
    std::chrono::milliseconds answer_due;
    /// Time that is left to one call of the store on a new connection.
    std::chrono::milliseconds store_call;
    /// Longest time that is left to the store for such a call and a list. With more time, all
    /// daemons would read the store themselves.
    std::chrono::milliseconds longest_store_time;
};

/// Configurations and evacuations are rare; a waiting watch brings them at once.
[[nodiscard]] feed_rhythm configuration_rhythm(kernel::gateway_bounds const& bounds);
[[nodiscard]] feed_rhythm evacuation_rhythm(kernel::gateway_bounds const& bounds);

/// Backend servers report all the time, so changes are read in batches.
[[nodiscard]] feed_rhythm server_rhythm(kernel::gateway_bounds const& bounds);

/// Entry hosts report all the time; a silent one leaves the directory after some missed reports.
[[nodiscard]] feed_rhythm entry_host_rhythm(kernel::gateway_bounds const& bounds);

} // namespace pistachiohub::discovery
