#pragma once

/// @file
/// Quarantine of requests that crash backend servers, identified by their fingerprint.

#include "kernel/clock.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pistachiohub::retry
{

/// Time after which a quarantine or a suspicion expires.
inline constexpr kernel::duration quarantine_time = std::chrono::seconds(600);
/// Number of different backend servers that lose their connection while they run a request before
/// the request is quarantined.
inline constexpr std::size_t servers_to_quarantine = 2;
/// Maximum number of stored fingerprints. A new one evicts the oldest that is not quarantined.
inline constexpr std::size_t max_fingerprints = 100000;

/// State of one suspected or quarantined fingerprint.
struct suspicion
{
    /// Names of the backend servers whose connection broke while they ran the request.
    std::vector<std::string> backend_servers;
    kernel::monotonic_time expires_at;
    bool is_quarantined = false;
};

/// All suspected and quarantined fingerprints of a daemon.
struct quarantine
{
    std::unordered_map<std::uint64_t, suspicion> suspicions;
    /// Fingerprints in order of insertion, for eviction. May contain some that were removed from
    /// `suspicions` since.
    std::deque<std::uint64_t> insertion_order;
};

/// @returns the fingerprint of a request: xxHash64 of the service's name and the body.
[[nodiscard]] std::uint64_t fingerprint(std::string_view service, std::string_view body);

/// Records that the connection of `backend_server` broke while the server ran a request.
/// @param server_limit number of different backend servers after which the request is quarantined.
/// @returns true if this call quarantines the fingerprint, so that the caller must notify the other
/// daemons.
[[nodiscard]] bool record_connection_loss(quarantine& state,
                                          std::uint64_t request_fingerprint,
                                          std::string_view backend_server,
                                          kernel::monotonic_time now,
                                          std::size_t server_limit = servers_to_quarantine);

/// Records that the request was answered: removes its suspicion unless it is quarantined.
/// @returns the number of backend servers that the removed suspicion named.
std::size_t record_answered(quarantine& state, std::uint64_t request_fingerprint);

/// @returns the number of backend servers that the suspicion of the request names.
[[nodiscard]] std::size_t counted_servers(quarantine const& state,
                                          std::uint64_t request_fingerprint,
                                          kernel::monotonic_time now);

/// @returns true if the request must be refused.
[[nodiscard]] bool is_quarantined(quarantine const& state,
                                  std::uint64_t request_fingerprint,
                                  kernel::monotonic_time now);

/// @returns true if the request is suspected or quarantined. The next attempt of a suspected
/// request must run alone on its backend server.
[[nodiscard]] bool
is_suspect(quarantine const& state, std::uint64_t request_fingerprint, kernel::monotonic_time now);

/// Applies a quarantine notice from another daemon or a release by an operator.
/// @param is_quarantined true to quarantine the fingerprint, false to remove it.
/// @param expires_at end of the quarantine, unless a later one is already set; unused for a
/// release.
void set_quarantined(quarantine& state,
                     std::uint64_t request_fingerprint,
                     bool is_quarantined,
                     kernel::monotonic_time expires_at);

/// Removes expired suspicions and quarantines.
void expire(quarantine& state, kernel::monotonic_time now);

} // namespace pistachiohub::retry
