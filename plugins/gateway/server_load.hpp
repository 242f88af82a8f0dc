#pragma once

/// @file
/// The load that a backend server reports, and the finish time that follows from it.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace pistachiohub::gateway
{

/// Figures of one load header.
struct server_load
{
    /// Running and waiting requests of all daemons, without the answered one.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Missing if unknown.
    std::optional<std::uint32_t> slots;
    /// Duration of work on the server's machine in percent of the usual one. Missing if unknown.
    std::optional<std::uint32_t> slowdown_percent;

    bool operator==(server_load const&) const = default;
};

/// Slowdown at which work takes the usual time.
inline constexpr std::uint32_t usual_slowdown_percent = 100;

/// Time after which the reported slowdown counts half. It changes many times a second, and requests
/// take a few tenths of a second, so that an older report says little about the next run.
inline constexpr std::chrono::duration<double> slowdown_half_life{0.3};

/// @returns the load stated by a load header (`running,waiting[,slots[,slowdown]]`), or nothing if
/// the running or waiting requests are missing, unreadable or absurdly many. Slots and a slowdown
/// that are unreadable or absurd are unknown. Further figures are ignored.
[[nodiscard]] std::optional<server_load> parse_load(std::string_view value);

/// @returns whether a machine can plausibly report the slowdown.
[[nodiscard]] bool is_plausible_slowdown(std::uint32_t percent);

/// @returns the factor by which work takes longer than usual. It approaches 1 with the age of the
/// report.
[[nodiscard]] double slowdown_factor(std::optional<std::uint32_t> const& slowdown_percent,
                                     std::chrono::duration<double> age);

/// What the finish time of one request at a server is computed from.
struct finish_input
{
    /// Requests that run or wait at the server.
    double load = 0;
    /// Requests that are ahead of this one in the daemon's own queue.
    double queued = 0;
    double slots = 1;
    /// Usual time in seconds for which a request occupies a slot.
    double run_seconds = 0;
    double slowdown = 1;
};

/// Times in seconds from now.
struct finish_estimate
{
    /// Until the request starts.
    double start = 0;
    /// Until it is answered.
    double finish = 0;
};

/// @returns the requests that may wait at a server for each of its slots. The server fills a
/// released slot from its queue at once, while daemons learn of the slot later and compete for it.
/// @param run_seconds usual run in seconds; 0 if unknown.
[[nodiscard]] double queue_per_slot(double run_seconds, double target_seconds);

/// @returns when a further request at the server is expected to start and to finish.
[[nodiscard]] finish_estimate estimate_finish(finish_input const& input);

} // namespace pistachiohub::gateway
