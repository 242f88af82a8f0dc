#pragma once

/// @file
/// Quarantine of requests that crash backend servers, identified by their fingerprint.
///
/// Servers also crash for reasons of their own, and a popular request is then running on each of
/// them. A quarantine may therefore be wrong. It ends early when runs of the request that began
/// after the last crash are answered; trial runs provide such answers at the risk of one more
/// server.

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
/// Number of answered runs, with no crash between them, that end a quarantine. A request that
/// crashes half of its servers passes one time in 256.
inline constexpr std::size_t answers_to_release = 8;
/// Maximum number of concurrent trial runs on one daemon.
inline constexpr std::size_t max_trial_runs = 4;

/// The crash of a backend server during a run of the request.
struct counted_crash
{
    std::string backend_server;
    /// Start of the last run of the request on the server.
    kernel::monotonic_time began_at;
    kernel::monotonic_time crashed_at;
    /// An answer to a run that began from this time on is evidence for the request. Later than the
    /// crash by the errors of clocks.
    kernel::monotonic_time answers_count_from;
};

/// Runs of a quarantined request that this daemon permits.
struct trial
{
    /// Time from which runs are permitted; `max()` for none.
    kernel::monotonic_time opens_at = kernel::monotonic_time::max();
    std::size_t running = 0;
    /// Answered runs since the last crash.
    std::size_t answers = 0;
    /// Runs that ended with neither an answer nor a crash. No more runs start when there are more
    /// of them than answers, since a request may fail in more ways than one.
    std::size_t unresolved = 0;
};

/// State of one suspected or quarantined fingerprint.
struct suspicion
{
    std::vector<counted_crash> crashes;
    /// The latest `answers_count_from` of the crashes.
    kernel::monotonic_time answers_count_from;
    kernel::monotonic_time expires_at;
    bool is_quarantined = false;
    /// Start of the quarantine on this daemon.
    kernel::monotonic_time quarantined_at;
    retry::trial trial;
};

/// All suspected and quarantined fingerprints of a daemon.
struct quarantine
{
    std::unordered_map<std::uint64_t, suspicion> suspicions;
    /// Fingerprints in order of insertion, for eviction. May contain some that were removed from
    /// `suspicions` since.
    std::deque<std::uint64_t> insertion_order;
};

/// What an answered run changes.
struct answer_effect
{
    /// Crashes that counted against the request and no longer do.
    std::size_t cleared_crashes = 0;
    /// Whether the answer ends a quarantine.
    bool is_released = false;
};

/// @returns the fingerprint of a request: xxHash64 of the service's name and the body.
[[nodiscard]] std::uint64_t fingerprint(std::string_view service, std::string_view body);

/// Records that a backend server crashed, or that its connection broke, while it ran a request.
/// Another crash of a server that already counts has no effect.
/// @param now time at which this daemon learns of the crash.
/// @param server_limit number of different backend servers after which the request is quarantined.
/// @returns true if this call quarantines the fingerprint, so that the caller must notify the other
/// daemons.
[[nodiscard]] bool record_crash(quarantine& state,
                                std::uint64_t request_fingerprint,
                                counted_crash crash,
                                kernel::monotonic_time now,
                                std::size_t server_limit = servers_to_quarantine);

/// Records the crash of a server whose run of the request has an unknown start. It counts as a
/// crash of its own.
[[nodiscard]] bool record_connection_loss(quarantine& state,
                                          std::uint64_t request_fingerprint,
                                          std::string_view backend_server,
                                          kernel::monotonic_time now,
                                          std::size_t server_limit = servers_to_quarantine);

/// Records that a run of the request was answered. One that began before the last crash proves
/// nothing: the request may have become harmful since. Otherwise it clears a suspicion, and several
/// end a quarantine.
/// @param began_at start of the run.
answer_effect record_answered(quarantine& state,
                              std::uint64_t request_fingerprint,
                              kernel::monotonic_time began_at);

/// @returns the number of backend servers that the suspicion of the request names.
[[nodiscard]] std::size_t counted_servers(quarantine const& state,
                                          std::uint64_t request_fingerprint,
                                          kernel::monotonic_time now);

/// @returns the suspicion of the request, or null if there is none.
[[nodiscard]] suspicion const* find_suspicion(quarantine const& state,
                                              std::uint64_t request_fingerprint,
                                              kernel::monotonic_time now);

/// @returns true if the request is quarantined. Only trial runs may start.
[[nodiscard]] bool is_quarantined(quarantine const& state,
                                  std::uint64_t request_fingerprint,
                                  kernel::monotonic_time now);

/// @returns true if the request is suspected or quarantined. The next attempt of a suspected
/// request must run alone on its backend server.
[[nodiscard]] bool
is_suspect(quarantine const& state, std::uint64_t request_fingerprint, kernel::monotonic_time now);

/// @returns whether two servers crashed at the same moment though their runs of the request began
/// at different times. A request that crashes its servers does so after similar run times.
[[nodiscard]] bool have_common_cause(counted_crash const& left, counted_crash const& right);

/// @returns the number of crashes, where those with a common cause count as one.
[[nodiscard]] std::size_t independent_crashes(suspicion const& entry);

/// Sets from when this daemon permits trial runs of a quarantined request.
void open_trial(quarantine& state,
                std::uint64_t request_fingerprint,
                kernel::monotonic_time opens_at);

/// @returns whether a trial run of a quarantined request may start. The number of concurrent runs
/// grows with each answer, so that a harmful request costs one server and a harmless one is
/// released soon.
[[nodiscard]] bool may_start_trial_run(quarantine const& state,
                                       std::uint64_t request_fingerprint,
                                       kernel::monotonic_time now);

/// Counts a trial run as started.
void begin_trial_run(quarantine& state, std::uint64_t request_fingerprint);

/// Counts a trial run as ended. An answer is recorded with record_answered() afterwards.
/// @param is_unresolved whether the run may have begun and did not end with an answer.
void end_trial_run(quarantine& state, std::uint64_t request_fingerprint, bool is_unresolved);

/// Ends the trial of a quarantined request. Runs that began before no longer belong to it, and a
/// new trial has to be opened.
void restart_trial(quarantine& state,
                   std::uint64_t request_fingerprint,
                   kernel::monotonic_time now);

/// Applies a quarantine notice from another daemon or a release by an operator.
/// @param is_quarantined true to quarantine the fingerprint, false to remove it.
/// @param now start of the quarantine on this daemon; unused for a release.
/// @param expires_at end of the quarantine, unless a later one is already set; unused for a
/// release.
void set_quarantined(quarantine& state,
                     std::uint64_t request_fingerprint,
                     bool is_quarantined,
                     kernel::monotonic_time now,
                     kernel::monotonic_time expires_at);

/// Removes expired suspicions and quarantines.
void expire(quarantine& state, kernel::monotonic_time now);

} // namespace pistachiohub::retry
