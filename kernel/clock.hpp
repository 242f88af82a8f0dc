#pragma once

/// @file
/// Time types. Decision functions take the time as an argument; only threads read a clock.

#include <chrono>
#include <cstdint>
#include <ctime>

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

/// The clock of CLOCK_BOOTTIME, which also counts the time for which the host was suspended. Ages
/// of what one daemon tells another are measured with it: the other one was awake meanwhile. Its
/// times are not comparable with those of the monotonic clock, on which timers run.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now()
    {
        std::timespec read{};
        clock_gettime(CLOCK_BOOTTIME, &read);
        return time_point(std::chrono::seconds(read.tv_sec) +
                          std::chrono::nanoseconds(read.tv_nsec));
    }
};

/// A point on the boot clock; never compared across processes.
using boot_time = boot_clock::time_point;

/// @returns the wall clock in milliseconds since the Unix epoch.
[[nodiscard]] inline std::uint64_t wall_clock_ms()
{
    auto const since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

} // namespace pistachiohub::kernel
