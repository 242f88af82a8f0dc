#pragma once

/// @file
/// How often the kinds of the store's objects are read.

#include "kernel/gateway_settings.hpp"

#include <chrono>

namespace pistachiohub::discovery
{

/// How often one kind is read.
struct feed_rhythm
{
    /// How long a watch waits for a change. A store that forgets its history while a watch waits
    /// may never report the changes that were forgotten, so they are found by the next call only.
    std::chrono::milliseconds watch_wait;
    /// Shortest time between two calls. Kinds that change all the time are read in batches.
    std::chrono::milliseconds spacing;
};

/// Part of a bound within which a change is read. The rest covers the call, a repeated one, and the
/// requests on their way.
inline constexpr double part_of_bound = 0.6;

/// Each daemon calls for each kind. Configurations and evacuations are rare; a waiting watch brings
/// them at once.
[[nodiscard]] feed_rhythm configuration_rhythm(kernel::gateway_bounds const& bounds);
[[nodiscard]] feed_rhythm evacuation_rhythm(kernel::gateway_bounds const& bounds);

/// Backend servers report all the time, so changes are read in batches.
[[nodiscard]] feed_rhythm server_rhythm(kernel::gateway_bounds const& bounds);

/// Entry hosts report all the time; a silent one leaves the directory after some missed reports.
[[nodiscard]] feed_rhythm entry_host_rhythm(kernel::gateway_bounds const& bounds);

} // namespace pistachiohub::discovery
