#pragma once

/// @file
/// Requests that crash backend servers, recognised by fingerprint.

#include "kernel/clock.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pistachiohub::retry
{

/// How long a fingerprint stays quarantined, and how long a suspicion lasts.
inline constexpr kernel::duration quarantine_time = std::chrono::seconds(600);
/// Different backend servers whose connection a request breaks before it is quarantined.
inline constexpr std::size_t strikes_to_quarantine = 2;
/// Most fingerprints remembered; the oldest suspicion is dropped first.
inline constexpr std::size_t most_fingerprints = 100000;

/// What is remembered of one fingerprint.
struct suspicion
{
    /// Names of the backend servers whose connection broke while they ran the request.
    std::vector<std::string> backend_servers;
    kernel::monotonic_time expires_at;
    bool is_quarantined = false;
};

/// All suspicions of a daemon.
struct quarantine
{
    std::unordered_map<std::uint64_t, suspicion> suspicions;
    /// Fingerprints in the order of their first strike; may name some that were removed since.
    std::deque<std::uint64_t> insertion_order;
};

/// @returns the fingerprint of a request: xxHash64 of the service's name and the body.
[[nodiscard]] std::uint64_t fingerprint(std::string_view service, std::string_view body);

/// Notes that `backend_server` broke its connection while it ran a request.
/// @param strikes different backend servers that quarantine the request.
/// @returns true if this quarantines the fingerprint now, so that other daemons must be told.
[[nodiscard]] bool record_broken(quarantine& state,
                                 std::uint64_t request_fingerprint,
                                 std::string_view backend_server,
                                 kernel::monotonic_time now,
                                 std::size_t strikes = strikes_to_quarantine);

/// Notes that the request was answered; clears a suspicion that has not led to a quarantine.
void record_answered(quarantine& state, std::uint64_t request_fingerprint);

/// @returns true if the request must be refused.
[[nodiscard]] bool is_quarantined(quarantine const& state,
                                  std::uint64_t request_fingerprint,
                                  kernel::monotonic_time now);

/// @returns true if the request has a strike, so that its next attempt must run alone.
[[nodiscard]] bool
is_suspect(quarantine const& state, std::uint64_t request_fingerprint, kernel::monotonic_time now);

/// Applies another daemon's notice or an operator's release.
void set_quarantined(quarantine& state,
                     std::uint64_t request_fingerprint,
                     bool is_quarantined,
                     kernel::monotonic_time expires_at);

/// Drops what has expired.
void expire(quarantine& state, kernel::monotonic_time now);

} // namespace pistachiohub::retry
