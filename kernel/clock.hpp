#pragma once

/// @file
/// Time types. Decision functions take the time as an argument; only threads read a clock.

#include <chrono>
#include <cstdint>

namespace pistachiohub::kernel
{

/// A point on the monotonic clock; never compared across processes.
using monotonic_time = std::chrono::steady_clock::time_point;

/// A span of time.
using duration = std::chrono::steady_clock::duration;

/// @returns the current monotonic time.
[[nodiscard]] inline monotonic_time monotonic_now()
{
    return std::chrono::steady_clock::now();
}

/// @returns the wall clock in milliseconds since the Unix epoch.
[[nodiscard]] inline std::uint64_t wall_clock_ms()
{
    auto const since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

} // namespace pistachiohub::kernel
