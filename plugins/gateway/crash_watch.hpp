#pragma once

/// @file
/// Detects requests that crash the backend servers which run them.
///
/// A connection that breaks during a request is no proof of a crash, because connections break for
/// many reasons. The daemon therefore checks whether anything still listens at the server's
/// address. If not, each request whose connection to the server broke becomes a suspect of this
/// crash, and the crash is reported to all daemons. A request that is a suspect in the crashes of
/// several servers is quarantined.
///
/// A popular request runs on most servers, so it is also a suspect when servers crash for reasons
/// of their own. One host then sends it on trial: answers to runs that began after the crashes
/// release it, another crash confirms the quarantine. Each decision replaces the earlier one on all
/// hosts.

#include "libraries/fleet/backend_server.hpp"
#include "plugins/gateway/request.hpp"
#include "plugins/retry/quarantine.hpp"

#include <deque>
#include <map>
#include <optional>
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

/// Time without a crash before a trial begins. Servers that crash for the same reason do so within
/// it.
inline constexpr auto coincidence_window = std::chrono::milliseconds(500);

/// Time from the turn of one host to the turn of the next. Within it, the next host learns of a
/// trial that has failed.
inline constexpr auto trial_turn = std::chrono::milliseconds(2500);

/// Time from the start of its turn in which a host may begin a trial.
inline constexpr auto trial_start_window = std::chrono::milliseconds(1000);

/// Number of turns after which a host has its turn again.
inline constexpr std::size_t trial_turns = 8;

/// Margin for changes of the store to reach all daemons.
inline constexpr auto propagation_time = std::chrono::seconds(2);

/// Number of requests that all hosts together refuse within `refusal_window` from which a trial
/// takes place. Only a request that is popular runs on several servers that crash for another
/// reason; for others the quarantine is probably right.
inline constexpr std::size_t refusals_to_trial = 20;

/// See `refusals_to_trial`.
inline constexpr auto refusal_window = std::chrono::seconds(4);

/// Number of answers before the crash of a trial run from which the trial is repeated.
inline constexpr std::size_t answers_to_retrial = 4;

/// Number of failed trials after which a quarantine stays until its end.
inline constexpr std::uint32_t max_failed_trials = 3;

/// Maximum number of detected crashes that are remembered; the oldest is dropped first.
inline constexpr std::size_t max_detected_crashes = 256;

/// Maximum number of own crash reports that are published to other daemons. The oldest one of a
/// request that was running at a single crash is dropped first.
inline constexpr std::size_t max_crash_reports = 32;

/// Maximum number of quarantines that are published to other daemons, and of releases; those that
/// end last.
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

/// The same moment on two clocks.
struct moment
{
    kernel::monotonic_time now;
    /// Milliseconds since the Unix epoch.
    std::uint64_t wall_clock_ms = 0;
};

/// A send whose connection broke, while it is unknown whether the server crashed.
struct pending_break
{
    std::uint64_t fingerprint = 0;
    std::string server;
    /// Time of the send.
    kernel::monotonic_time began_at;
    kernel::monotonic_time broken_at;
};

/// The crash of a server that this daemon detected or learned of.
struct detected_crash
{
    std::string server;
    kernel::monotonic_time detected_at;
};

/// A trial run that crashed its server.
struct failed_trial
{
    retry::counted_crash crash;
    kernel::monotonic_time detected_at;
    /// From then on only trial runs of the request began.
    kernel::monotonic_time trial_opened_at;
    /// Answered runs of the trial before the crash.
    std::size_t answers = 0;
};

/// A decision that holds on this daemon, with its own part in the trial.
struct known_decision
{
    fleet::quarantined_request published;
    /// The end of `published` on this daemon's clock.
    kernel::monotonic_time expires_at;
    /// Requests that this daemon refused because of it, in the present window.
    std::size_t refusals = 0;
    kernel::monotonic_time refusals_since;
    /// The turn in which this daemon may begin a trial, counted from 0, and when it was found. It
    /// changes with the hosts and with the reports of crashes.
    std::size_t turn = 0;
    std::optional<kernel::monotonic_time> turn_found_at = std::nullopt;
    /// The trial run of this daemon that crashed its server, until the cause has been judged.
    std::optional<failed_trial> failure = std::nullopt;
};

/// Broken sends, crash reports and quarantined requests that this daemon knows.
struct crash_watch
{
    /// Name of this host.
    std::string own_host;
    /// Time in which the store forgets a server that has crashed.
    kernel::duration lapse_time = std::chrono::milliseconds(4500);
    retry::quarantine suspects;
    std::deque<pending_break> pending_breaks;
    std::deque<detected_crash> detected_crashes;
    /// Crashes that this daemon detected, with the times at which they expire.
    std::deque<std::pair<fleet::crash_report, kernel::monotonic_time>> own_reports;
    /// Crashes that have counted against a request, by whomever they were found, with the times at
    /// which they expire. Several hosts may detect the same crash, and a host repeats its reports;
    /// neither must count again, since the suspect may have been answered and cleared in the
    /// meantime.
    std::map<std::pair<std::uint64_t, std::string>, kernel::monotonic_time> counted_crashes;
    /// Hosts that reported crashes of a request.
    std::map<std::uint64_t, std::vector<std::string>> reporters;
    /// Quarantines and releases by fingerprint. An end is passed on unchanged, so that a quarantine
    /// does not grow longer from host to host.
    std::map<std::uint64_t, known_decision> decisions;
};

/// Requests that were running at a crash.
struct crash_effect
{
    std::vector<std::uint64_t> suspects;
    /// Those that the crash quarantined.
    std::vector<std::uint64_t> quarantined;
    /// Decisions on those that were on trial.
    std::vector<fleet::quarantined_request> failed_trials;
};

/// @returns the fingerprint of a request: its host name, method, target and body, whoever sends it.
[[nodiscard]] std::uint64_t crash_fingerprint(gateway_request const& request);

/// Records that the connection to the server broke while it handled the request.
/// @param began_at time of the send.
void add_pending_break(crash_watch& state,
                       std::uint64_t fingerprint,
                       std::string_view server,
                       kernel::monotonic_time began_at,
                       kernel::monotonic_time now);

/// Records that nothing listens at the server's address. Requests whose sends to the server broke
/// recently become suspects. If one of them was a trial run, no further trial takes place until its
/// crash has been judged.
crash_effect record_crash(crash_watch& state, std::string_view server, moment const& at);

/// Applies the crash reports of another daemon, except those that were already applied and those
/// from before a release of the request.
/// @param reporter name of the host.
/// @returns the fingerprints that these reports quarantined.
std::vector<std::uint64_t> apply_reports(crash_watch& state,
                                         std::span<fleet::crash_report const> reports,
                                         std::string_view reporter,
                                         moment const& at);

/// Applies the quarantines and releases that another daemon published, where they are newer than
/// the decision known for the request. Ended ones are ignored, and none lasts longer than one that
/// begins now.
/// @returns the decisions that changed.
std::vector<fleet::quarantined_request> apply_decisions(
    crash_watch& state, std::span<fleet::quarantined_request const> published, moment const& at);

/// Takes over the crash reports that an earlier process of this host published.
/// @returns the fingerprints that these reports quarantined.
std::vector<std::uint64_t>
restore_reports(crash_watch& state, std::span<fleet::crash_report const> reports, moment const& at);

/// Records that a server ran the request to its end. This clears a suspicion that has not led to a
/// quarantine, unless the run began before the last crash; this daemon then no longer reports the
/// request as a suspect to the other daemons. Several such answers release a quarantined request.
/// @param began_at time of the send.
retry::answer_effect record_answer(crash_watch& state,
                                   gateway_request const& request,
                                   kernel::monotonic_time began_at,
                                   moment const& at);

/// @returns the number of servers whose crashes count against the request.
[[nodiscard]] std::size_t counted_crashes(crash_watch const& state,
                                          gateway_request const& request,
                                          kernel::monotonic_time now);

/// @returns whether the request is quarantined. Only trial runs of it may be sent.
[[nodiscard]] bool is_quarantined(crash_watch const& state,
                                  gateway_request const& request,
                                  kernel::monotonic_time now);

/// Decides whether a quarantined request may be sent to find out whether the quarantine is wrong. A
/// trial takes place if the crashes coincided, or if many callers are refused. The hosts take turns
/// so that a request that does crash servers costs one server and not one for each host: first the
/// one with the highest rendezvous score, then those that detected the crashes, then the others. A
/// trial that has brought answers goes on after the turn.
/// @param hosts names of all hosts, with this one; no host has a turn while they are unknown.
[[nodiscard]] bool permits_trial_run(crash_watch& state,
                                     std::uint64_t fingerprint,
                                     std::span<std::string const> hosts,
                                     moment const& at);

/// Counts a request that was refused because it is quarantined.
void record_refusal(crash_watch& state, std::uint64_t fingerprint, kernel::monotonic_time now);

/// Stops the trial until a broken trial run has been attributed to a crash or not.
void pause_trial(crash_watch& state, std::uint64_t fingerprint, kernel::monotonic_time now);

/// Records that a server has ended without notice, as the store tells. Its cause is unknown.
void record_lost_server(crash_watch& state, std::string_view server, kernel::monotonic_time now);

/// @returns whether the cause of a failed trial is being judged.
[[nodiscard]] bool has_failed_trial(crash_watch const& state);

/// Decides on failed trials as soon as it is known which other servers crashed at that time. If a
/// server crashed that did not run the request, if another suspect ran on the same server, or if
/// the trial had brought several answers before, it is repeated; otherwise the quarantine is final.
/// @returns the new decisions.
std::vector<fleet::quarantined_request> judge_failed_trials(crash_watch& state, moment const& at);

/// @returns whether no trial is due any more, so that the quarantine lasts until its end.
[[nodiscard]] bool is_final(fleet::quarantined_request const& decision);

/// @returns after which time it is worthwhile to send a refused request again: when the quarantine
/// ends, or when a trial may have released the request.
[[nodiscard]] std::chrono::milliseconds
quarantine_wait(crash_watch const& state, std::uint64_t fingerprint, moment const& at);

/// Removes expired broken sends, reports, decisions and suspicions.
void expire(crash_watch& state, kernel::monotonic_time now);

/// @returns what this daemon publishes to the others.
/// @param own name of this host.
/// @param hosts names of all hosts that may publish, with this one; empty if they are unknown.
[[nodiscard]] fleet::crash_knowledge collect_crash_knowledge(crash_watch const& state,
                                                             std::string const& own,
                                                             std::span<std::string const> hosts);

} // namespace pistachiohub::gateway
