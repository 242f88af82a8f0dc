#pragma once

/// @file
/// Requests that crash the backend servers which run them.
///
/// A broken send proves nothing: connections break for many reasons. So the daemon looks whether
/// anything still listens at the server's address. If not, each request that broke there counts as
/// a suspect of this crash, and all daemons are told. A request that crashed several servers is
/// quarantined.

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

/// Different servers that a request crashes before it is quarantined. One more than in the request
/// interface, where the second send of a suspect runs alone.
inline constexpr std::size_t crashes_to_quarantine = 3;

/// Time after a broken send in which its server may be found crashed.
inline constexpr auto crash_evidence_time = std::chrono::seconds(4);

/// Reports that this daemon keeps for the others, the newest ones.
inline constexpr std::size_t most_crash_reports = 32;

/// Broken sends that wait for evidence.
inline constexpr std::size_t most_open_breaks = 1024;

/// Reports of other daemons that are remembered: those of some hundred hosts. Further ones are not
/// applied.
inline constexpr std::size_t most_heard_reports = 16384;

/// A send that broke, and the server whose fate is open.
struct open_break
{
    std::uint64_t fingerprint = 0;
    std::string server;
    kernel::monotonic_time at;
};

/// All that this daemon knows of crashes.
struct crash_watch
{
    retry::quarantine suspects;
    std::deque<open_break> open;
    /// Crashes that this daemon found, with the times at which they are forgotten.
    std::deque<std::pair<fleet::crash_report, kernel::monotonic_time>> found;
    /// Reports of other daemons that were applied, with the times at which they are forgotten. A
    /// host repeats its reports, but the suspect may have been answered since.
    std::map<std::pair<std::uint64_t, std::string>, kernel::monotonic_time> heard;
};

/// @returns the fingerprint of a request: its service, caller, method, target and body.
[[nodiscard]] std::uint64_t crash_fingerprint(gateway_request const& request);

/// Notes that a send of the request broke.
void note_break(crash_watch& state,
                std::uint64_t fingerprint,
                std::string_view server,
                kernel::monotonic_time now);

/// Notes that nothing listens at the server's address.
/// @returns the fingerprints that broke there.
std::vector<std::uint64_t>
note_crash(crash_watch& state, std::string_view server, kernel::monotonic_time now);

/// Applies what another daemon found and has not reported before.
/// @returns the fingerprints that are quarantined by it.
std::vector<std::uint64_t> apply_reports(crash_watch& state,
                                         std::span<fleet::crash_report const> reports,
                                         kernel::monotonic_time now);

/// Notes that a server answered the request: it does not crash them. The other daemons are not told
/// any more that it is a suspect.
void note_answer(crash_watch& state, gateway_request const& request);

/// @returns whether the request must not be sent.
[[nodiscard]] bool is_quarantined(crash_watch const& state,
                                  gateway_request const& request,
                                  kernel::monotonic_time now);

/// Forgets what is too old.
void expire(crash_watch& state, kernel::monotonic_time now);

/// @returns what other daemons are told.
[[nodiscard]] std::vector<fleet::crash_report> reports_of(crash_watch const& state);

} // namespace pistachiohub::gateway
