#pragma once

/// @file
/// Detects requests that crash the backend servers which run them.
///
/// A connection that breaks during a request is no proof of a crash, because connections break for
/// many reasons. The daemon therefore checks whether anything still listens at the server's
/// address. If not, each request whose connection to the server broke becomes a suspect of this
/// crash, and the crash is reported to all daemons. A request that is a suspect in the crashes of
/// several servers is quarantined.

#include "libraries/fleet/backend_server.hpp"
#include "plugins/gateway/request.hpp"
#include "plugins/retry/quarantine.hpp"

#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachiohub::gateway
{

/// Number of different servers that a request crashes before it is quarantined. It is one more than
/// in the request interface, where the second attempt of a suspect runs alone on its server.
inline constexpr std::size_t crashes_to_quarantine = 3;

/// Time after a broken send within which a detected crash of its server is attributed to the
/// request.
inline constexpr auto crash_detection_window = std::chrono::seconds(4);

/// Maximum number of own crash reports that are published to other daemons. The oldest one of a
/// request that was running at a single crash is dropped first.
inline constexpr std::size_t max_crash_reports = 32;

/// Maximum number of quarantines that are published to other daemons; those that end last.
inline constexpr std::size_t max_published_quarantines = 32;

/// Number of hosts whose registrations hold a quarantine. With more hosts than that, each
/// quarantine is published by the first ones in the order of its rendezvous scores.
inline constexpr std::size_t quarantine_copies = 8;

/// Maximum number of broken sends whose server may still be found crashed; the oldest is dropped
/// first.
inline constexpr std::size_t max_pending_breaks = 1024;

/// Maximum number of reports of other daemons that are remembered, enough for some hundred hosts.
/// Further reports are not applied.
inline constexpr std::size_t max_received_reports = 16384;

/// A send whose connection broke, while it is unknown whether the server crashed.
struct pending_break
{
    std::uint64_t fingerprint = 0;
    std::string server;
    kernel::monotonic_time broken_at;
};

/// Broken sends, crash reports and quarantined requests that this daemon knows.
struct crash_watch
{
    retry::quarantine suspects;
    std::deque<pending_break> pending_breaks;
    /// Crashes that this daemon detected, with the times at which they expire.
    std::deque<std::pair<fleet::crash_report, kernel::monotonic_time>> own_reports;
    /// Applied reports of other daemons, with the times at which they expire. A host repeats its
    /// reports; a repeated one must not count again, since the suspect may have been answered and
    /// cleared in the meantime.
    std::map<std::pair<std::uint64_t, std::string>, kernel::monotonic_time> received_reports;
    /// Ends of the quarantines on the wall clock, in milliseconds since the Unix epoch. The end is
    /// passed on unchanged, so that a quarantine does not grow longer from host to host.
    std::map<std::uint64_t, std::uint64_t> quarantine_ends_ms;
};

/// @returns the fingerprint of a request: its host name, method, target and body, whoever sends it.
[[nodiscard]] std::uint64_t crash_fingerprint(gateway_request const& request);

/// Records that the connection to the server broke while it handled the request.
void add_pending_break(crash_watch& state,
                       std::uint64_t fingerprint,
                       std::string_view server,
                       kernel::monotonic_time now);

/// Records that nothing listens at the server's address.
/// @returns the fingerprints of the requests whose sends to the server broke recently.
std::vector<std::uint64_t>
record_crash(crash_watch& state, std::string_view server, kernel::monotonic_time now);

/// Applies the crash reports of another daemon, except those that were already applied.
/// @returns the fingerprints that these reports quarantined.
std::vector<std::uint64_t> apply_reports(crash_watch& state,
                                         std::span<fleet::crash_report const> reports,
                                         kernel::monotonic_time now);

/// Records the end of quarantines that record_crash() or apply_reports() has just begun.
/// @param wall_clock_ms current wall clock in milliseconds since the Unix epoch.
void begin_quarantines(crash_watch& state,
                       std::span<std::uint64_t const> fingerprints,
                       std::uint64_t wall_clock_ms);

/// Applies the quarantines that another daemon published. Ended ones are ignored, and none lasts
/// longer than one that begins now.
/// @param wall_clock_ms current wall clock in milliseconds since the Unix epoch.
/// @returns the fingerprints that were not quarantined before.
std::vector<std::uint64_t> apply_quarantines(crash_watch& state,
                                             std::span<fleet::quarantined_request const> published,
                                             std::uint64_t wall_clock_ms,
                                             kernel::monotonic_time now);

/// Takes over the crash reports that an earlier process of this host published.
/// @returns the fingerprints that these reports quarantined.
std::vector<std::uint64_t> restore_reports(crash_watch& state,
                                           std::span<fleet::crash_report const> reports,
                                           kernel::monotonic_time now);

/// Records that a server ran the request to its end, which clears a suspicion that has not led to a
/// quarantine. This daemon no longer reports the request as a suspect to the other daemons.
/// @returns the number of crashes that counted against the request and no longer do.
std::size_t record_answer(crash_watch& state, gateway_request const& request);

/// @returns the number of servers whose crashes count against the request.
[[nodiscard]] std::size_t counted_crashes(crash_watch const& state,
                                          gateway_request const& request,
                                          kernel::monotonic_time now);

/// @returns whether the request is quarantined and must not be sent.
[[nodiscard]] bool is_quarantined(crash_watch const& state,
                                  gateway_request const& request,
                                  kernel::monotonic_time now);

/// Removes expired broken sends, reports and suspicions.
void expire(crash_watch& state, kernel::monotonic_time now);

/// @returns what this daemon publishes to the others.
/// @param own name of this host.
/// @param hosts names of all hosts that may publish, with this one; empty if they are unknown.
[[nodiscard]] fleet::crash_knowledge collect_crash_knowledge(crash_watch const& state,
                                                             std::string const& own,
                                                             std::span<std::string const> hosts);

} // namespace pistachiohub::gateway
