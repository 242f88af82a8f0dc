#include "plugins/gateway/crash_watch.hpp"

#include "plugins/gateway/cold_allowance.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

std::uint64_t crash_fingerprint(gateway_request const& request)
{
    auto const& message = request.message;
    std::string text;
    for (std::string_view const part : {find_header_value(message.headers, "Host"),
                                        std::string_view(message.method),
                                        std::string_view(message.target),
                                        std::string_view(message.body)})
    {
        text += part;
        text += '\n';
    }
    // The route may move to another service, or be split between several, and a caller may come
    // from any address. Neither is part of the request's identity.
    return retry::fingerprint({}, text);
}

namespace
{

using std::chrono::milliseconds;

// Difference between the clocks of two hosts up to which a run that began after a crash is
// recognised as such.
constexpr auto max_clock_error = milliseconds(500);

// Time after a broken trial run in which the check of its server ends.
constexpr auto check_time = std::chrono::seconds(1);

constexpr auto quarantine_ms = static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(retry::quarantine_time).count());

// Converts a time of another host's wall clock. An unknown one is taken for now, and faulty ones
// are limited to the time for which a quarantine lasts.
kernel::monotonic_time from_wall_clock(std::uint64_t time_ms, moment const& at)
{
    if (time_ms == 0)
        return at.now;
    if (time_ms > at.wall_clock_ms)
        return at.now + milliseconds(std::min(time_ms - at.wall_clock_ms, quarantine_ms));
    return at.now - milliseconds(std::min(at.wall_clock_ms - time_ms, quarantine_ms));
}

std::uint64_t to_wall_clock(kernel::monotonic_time time, moment const& at)
{
    auto const age = std::chrono::duration_cast<milliseconds>(at.now - time).count();
    return at.wall_clock_ms - static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0));
}

known_decision* find_decision(crash_watch& state, std::uint64_t fingerprint)
{
    auto const found = state.decisions.find(fingerprint);
    return found == state.decisions.end() ? nullptr : &found->second;
}

// Returns whether a crash at this time was weighed when the request was released.
bool is_before_release(crash_watch& state, std::uint64_t fingerprint, std::uint64_t crashed_at_ms)
{
    auto const* const known = find_decision(state, fingerprint);
    return known != nullptr && known->published.is_released &&
           crashed_at_ms <= known->published.decided_at_ms;
}

void add_own_report(crash_watch& state, fleet::crash_report report, kernel::monotonic_time now)
{
    state.own_reports.push_back({std::move(report), now + retry::quarantine_time});
    if (state.own_reports.size() <= max_crash_reports)
        return;
    auto const single = std::find_if(
        state.own_reports.begin(),
        state.own_reports.end(),
        [&state, now](auto const& own)
        {
            return retry::counted_servers(state.suspects, own.first.fingerprint, now) <= 1;
        });
    state.own_reports.erase(single == state.own_reports.end() ? state.own_reports.begin() : single);
}

void remove_own_reports(crash_watch& state, std::uint64_t fingerprint)
{
    std::erase_if(state.own_reports,
                  [fingerprint](auto const& entry)
                  {
                      return entry.first.fingerprint == fingerprint;
                  });
}

void add_reporter(crash_watch& state, std::uint64_t fingerprint, std::string_view reporter)
{
    auto& names = state.reporters[fingerprint];
    if (std::find(names.begin(), names.end(), reporter) == names.end())
        names.emplace_back(reporter);
}

// The decision rests on crashes alone, so its order follows from the last one: hosts that count the
// same crashes again later do not overrule a release.
void begin_quarantine(crash_watch& state,
                      std::uint64_t fingerprint,
                      std::uint64_t crashed_at_ms,
                      moment const& at)
{
    auto& decision = state.decisions[fingerprint];
    auto const decided_at_ms = std::max(crashed_at_ms, decision.published.decided_at_ms + 1);
    decision = {.published = {.fingerprint = fingerprint,
                              .ends_at_ms = at.wall_clock_ms + quarantine_ms,
                              .decided_at_ms = decided_at_ms,
                              .trial_opens_at_ms = decided_at_ms,
                              .decided_by = state.own_host},
                .expires_at = at.now + retry::quarantine_time,
                .refusals_since = at.now};
}

// Counts a crash against the request. Returns whether this quarantines the request.
bool count_crash(crash_watch& state,
                 fleet::crash_report const& report,
                 std::string_view reporter,
                 moment const& at)
{
    if (is_before_release(state, report.fingerprint, report.crashed_at_ms))
        return false;
    bool const is_new = state.counted_crashes
                            .try_emplace({report.fingerprint, report.backend_server},
                                         at.now + retry::quarantine_time)
                            .second;
    add_reporter(state, report.fingerprint, reporter);
    if (!is_new)
        return false;
    auto const crashed_at = from_wall_clock(report.crashed_at_ms, at);
    auto const answers_count_from =
        reporter == state.own_host ? at.now : std::min(at.now, crashed_at + max_clock_error);
    if (!retry::record_crash(state.suspects,
                             report.fingerprint,
                             {report.backend_server,
                              from_wall_clock(report.began_at_ms, at),
                              crashed_at,
                              answers_count_from},
                             at.now,
                             crashes_to_quarantine))
        return false;
    begin_quarantine(state, report.fingerprint, report.crashed_at_ms, at);
    return true;
}

// Removes the recent broken sends to a server, and returns the last one of each request. Several
// runs of a request may have been on the server; the last one tells whether the crash may follow
// from an earlier one.
std::vector<pending_break>
take_broken_sends(crash_watch& state, std::string_view server, kernel::monotonic_time now)
{
    std::vector<pending_break> broken;
    std::unordered_map<std::uint64_t, std::size_t> positions;
    std::erase_if(state.pending_breaks,
                  [&](pending_break const& pending)
                  {
                      if (pending.server != server)
                          return false;
                      if (now - pending.broken_at >= crash_detection_window)
                          return true;
                      auto const [position, is_first] =
                          positions.try_emplace(pending.fingerprint, broken.size());
                      if (is_first)
                          broken.push_back(pending);
                      else if (broken[position->second].began_at < pending.began_at)
                          broken[position->second] = pending;
                      return true;
                  });
    return broken;
}

// Replaces a quarantine by a newer decision of this host.
void decide(known_decision& decision,
            crash_watch& state,
            std::uint32_t failed_trials,
            std::chrono::milliseconds pause,
            moment const& at)
{
    auto& published = decision.published;
    published.decided_at_ms = std::max(at.wall_clock_ms, published.decided_at_ms + 1);
    published.failed_trials = failed_trials;
    published.trial_opens_at_ms = at.wall_clock_ms + static_cast<std::uint64_t>(pause.count());
    published.decided_by = state.own_host;
    decision.turn_found_at.reset();
    decision.failure.reset();
    retry::restart_trial(state.suspects, published.fingerprint, at.now);
}

// Returns how long after a failed trial the crash of another server becomes known.
milliseconds judgement_time(crash_watch const& state)
{
    return std::chrono::duration_cast<milliseconds>(state.lapse_time + propagation_time);
}

// Applies that a trial run crashed its server. Runs from before the quarantine are no trial.
// Returns whether this is one.
bool end_failed_trial(crash_watch& state, pending_break const& broken, moment const& at)
{
    auto const* const entry = retry::find_suspicion(state.suspects, broken.fingerprint, at.now);
    auto* const decision = find_decision(state, broken.fingerprint);
    if (entry == nullptr || decision == nullptr || !entry->is_quarantined ||
        broken.began_at < entry->quarantined_at)
        return false;
    auto const answers = entry->trial.answers;
    auto const opened_at = from_wall_clock(decision->published.trial_opens_at_ms, at);
    // The next trial opens after this host had time to announce that the quarantine is final.
    decide(*decision,
           state,
           decision->published.failed_trials + 1,
           judgement_time(state) + propagation_time,
           at);
    decision->failure = {.crash = {broken.server, broken.began_at, broken.broken_at, at.now},
                         .detected_at = at.now,
                         .trial_opened_at = opened_at,
                         .answers = answers};
    return true;
}

// Returns whether another quarantined request was running at the server when it crashed and is more
// suspicious. The one that causes the crashes was running at all of them.
bool has_other_suspect(crash_watch const& state,
                       std::uint64_t fingerprint,
                       std::string const& server,
                       kernel::monotonic_time now)
{
    auto const count = retry::counted_servers(state.suspects, fingerprint, now);
    return std::any_of(
        state.decisions.begin(),
        state.decisions.end(),
        [&](auto const& entry)
        {
            auto const& [other, decision] = entry;
            if (other == fingerprint || decision.published.is_released ||
                !state.counted_crashes.contains({other, server}))
                return false;
            auto const other_count = retry::counted_servers(state.suspects, other, now);
            return other_count > count || (other_count == count && is_final(decision.published));
        });
}

// Returns whether another crash suggests that a trial run has not crashed its server.
bool has_related_crash(crash_watch const& state,
                       std::uint64_t fingerprint,
                       failed_trial const& failure,
                       kernel::monotonic_time now)
{
    auto const* const entry = retry::find_suspicion(state.suspects, fingerprint, now);
    bool const has_common_cause =
        entry != nullptr && std::any_of(entry->crashes.begin(),
                                        entry->crashes.end(),
                                        [&failure](retry::counted_crash const& crash)
                                        {
                                            return retry::have_common_cause(crash, failure.crash);
                                        });
    return has_common_cause ||
           std::any_of(state.detected_crashes.begin(),
                       state.detected_crashes.end(),
                       [&](detected_crash const& crash)
                       {
                           return crash.detected_at >= failure.trial_opened_at &&
                                  !state.counted_crashes.contains({fingerprint, crash.server});
                       });
}

// Ends the quarantine of a request that answers have released.
void release(crash_watch& state, std::uint64_t fingerprint, moment const& at)
{
    remove_own_reports(state, fingerprint);
    auto* const decision = find_decision(state, fingerprint);
    if (decision == nullptr)
        return;
    auto& published = decision->published;
    published.decided_at_ms = std::max(at.wall_clock_ms, published.decided_at_ms + 1);
    published.is_released = true;
    published.decided_by = state.own_host;
}

void add_detected_crash(crash_watch& state, detected_crash crash)
{
    if (state.detected_crashes.size() >= max_detected_crashes)
        state.detected_crashes.pop_front();
    state.detected_crashes.push_back(std::move(crash));
}

// Returns whether this host is one of those that publish the decision.
bool keeps_copy(fleet::quarantined_request const& decision,
                std::string const& own,
                std::span<std::string const> hosts)
{
    // Nobody else knows the result of an own trial.
    bool const is_own_verdict =
        decision.decided_by == own && (decision.is_released || decision.failed_trials > 0);
    return is_own_verdict || hosts.size() <= quarantine_copies ||
           daemon_rank_for_server(std::to_string(decision.fingerprint), own, hosts) <
               quarantine_copies;
}

// Returns how many turns pass before this host's own. Hosts that know the same reports get
// different turns.
std::size_t
find_turn(crash_watch const& state, std::uint64_t fingerprint, std::span<std::string const> hosts)
{
    auto const key = std::to_string(fingerprint);
    auto const rank = daemon_rank_for_server(key, state.own_host, hosts);
    auto const found = state.reporters.find(fingerprint);
    if (rank == 0 || found == state.reporters.end())
        return rank;
    auto const& detectors = found->second;
    bool const is_detector =
        std::find(detectors.begin(), detectors.end(), state.own_host) != detectors.end();
    return is_detector ? 1 + daemon_rank_for_server(key, state.own_host, detectors)
                       : 1 + detectors.size() + rank;
}

// Returns whether this host may begin a trial now.
bool is_own_turn(crash_watch const& state,
                 known_decision& decision,
                 std::span<std::string const> hosts,
                 moment const& at)
{
    auto const fingerprint = decision.published.fingerprint;
    if (!decision.turn_found_at || at.now - *decision.turn_found_at >= trial_turn)
    {
        decision.turn = find_turn(state, fingerprint, hosts);
        decision.turn_found_at = at.now;
    }
    // Trials of two requests that meet at one server would hide which of them crashed it.
    auto const offset = fingerprint % 2 == 0 ? kernel::duration(0) : trial_turn / 2;
    auto const opens_at =
        from_wall_clock(decision.published.trial_opens_at_ms, at) + coincidence_window + offset;
    auto const passed = at.now - opens_at;
    if (passed < kernel::duration(0) || passed % trial_turn >= trial_start_window)
        return false;
    // Servers may still be crashing for the same reason.
    if (!state.detected_crashes.empty() &&
        at.now - state.detected_crashes.back().detected_at < coincidence_window)
        return false;
    auto const turn = static_cast<std::size_t>(passed / trial_turn);
    return turn >= decision.turn &&
           (turn - decision.turn) % std::min(1 + 2 * hosts.size(), trial_turns) == 0;
}

// Returns whether it is worth a server to find out whether the quarantine is wrong.
bool is_doubtful(known_decision const& decision,
                 retry::suspicion const& entry,
                 std::size_t host_count)
{
    bool const is_coincidence = entry.crashes.size() >= crashes_to_quarantine &&
                                retry::independent_crashes(entry) < crashes_to_quarantine;
    // The other hosts probably refuse as many callers.
    return is_coincidence || decision.refusals * host_count >= refusals_to_trial;
}

void publish_latest(std::vector<fleet::quarantined_request>& published,
                    std::vector<fleet::quarantined_request> decisions)
{
    std::stable_sort(decisions.begin(),
                     decisions.end(),
                     [](auto const& left, auto const& right)
                     {
                         return left.ends_at_ms > right.ends_at_ms;
                     });
    if (decisions.size() > max_published_quarantines)
        decisions.resize(max_published_quarantines);
    published.insert(published.end(), decisions.begin(), decisions.end());
}

} // namespace

void add_pending_break(crash_watch& state,
                       std::uint64_t fingerprint,
                       std::string_view server,
                       kernel::monotonic_time began_at,
                       kernel::monotonic_time now)
{
    if (state.pending_breaks.size() >= max_pending_breaks)
        state.pending_breaks.pop_front();
    state.pending_breaks.push_back({fingerprint, std::string(server), began_at, now});
}

crash_effect record_crash(crash_watch& state, std::string_view server, moment const& at)
{
    auto const broken = take_broken_sends(state, server, at.now);
    crash_effect effect;
    for (auto const& last : broken)
        effect.suspects.push_back(last.fingerprint);
    add_detected_crash(state, {std::string(server), at.now});
    for (auto const& last : broken)
    {
        if (end_failed_trial(state, last, at))
            effect.failed_trials.push_back(find_decision(state, last.fingerprint)->published);
        fleet::crash_report report{last.fingerprint,
                                   std::string(server),
                                   to_wall_clock(last.began_at, at),
                                   to_wall_clock(last.broken_at, at)};
        if (count_crash(state, report, state.own_host, at))
            effect.quarantined.push_back(last.fingerprint);
        if (!is_before_release(state, last.fingerprint, report.crashed_at_ms))
            add_own_report(state, std::move(report), at.now);
    }
    return effect;
}

std::vector<std::uint64_t> apply_reports(crash_watch& state,
                                         std::span<fleet::crash_report const> reports,
                                         std::string_view reporter,
                                         moment const& at)
{
    std::vector<std::uint64_t> quarantined;
    for (auto const& report : reports)
    {
        if (state.counted_crashes.size() >= max_received_reports)
            break;
        if (count_crash(state, report, reporter, at))
            quarantined.push_back(report.fingerprint);
    }
    return quarantined;
}

std::vector<fleet::quarantined_request> apply_decisions(
    crash_watch& state, std::span<fleet::quarantined_request const> published, moment const& at)
{
    std::vector<fleet::quarantined_request> changed;
    for (auto decision : published)
    {
        if (decision.ends_at_ms <= at.wall_clock_ms)
            continue;
        decision.ends_at_ms = std::min(decision.ends_at_ms, at.wall_clock_ms + quarantine_ms);
        auto const fingerprint = decision.fingerprint;
        auto const known = state.decisions.find(fingerprint);
        if (known == state.decisions.end() && state.decisions.size() >= retry::max_fingerprints)
            continue;
        if (known != state.decisions.end() &&
            known->second.published.decided_at_ms >= decision.decided_at_ms)
            continue;
        auto const ends_at = at.now + milliseconds(decision.ends_at_ms - at.wall_clock_ms);
        retry::set_quarantined(state.suspects, fingerprint, !decision.is_released, at.now, ends_at);
        auto& own = state.decisions[fingerprint];
        // Several hosts may decide on the same crashes.
        if (own.published.decided_at_ms > 0 && own.published.is_released == decision.is_released &&
            own.published.failed_trials == decision.failed_trials && decision.failed_trials == 0)
        {
            own.published = decision;
            own.expires_at = ends_at;
            continue;
        }
        own = {.published = decision,
               .expires_at = ends_at,
               .refusals = own.refusals,
               .refusals_since = own.refusals_since};
        retry::restart_trial(state.suspects, fingerprint, at.now);
        if (decision.is_released)
            remove_own_reports(state, fingerprint);
        changed.push_back(decision);
    }
    return changed;
}

std::vector<std::uint64_t>
restore_reports(crash_watch& state, std::span<fleet::crash_report const> reports, moment const& at)
{
    for (auto const& report : reports)
    {
        bool const is_known = std::any_of(state.own_reports.begin(),
                                          state.own_reports.end(),
                                          [&report](auto const& own)
                                          {
                                              return own.first == report;
                                          });
        if (!is_known && !is_before_release(state, report.fingerprint, report.crashed_at_ms))
            add_own_report(state, report, at.now);
    }
    return apply_reports(state, reports, state.own_host, at);
}

retry::answer_effect record_answer(crash_watch& state,
                                   gateway_request const& request,
                                   kernel::monotonic_time began_at,
                                   moment const& at)
{
    if (state.suspects.suspicions.empty())
        return {};
    auto const fingerprint = crash_fingerprint(request);
    auto const effect = retry::record_answered(state.suspects, fingerprint, began_at);
    if (effect.is_released)
        release(state, fingerprint, at);
    else if (effect.cleared_crashes > 0)
        remove_own_reports(state, fingerprint);
    return effect;
}

std::size_t counted_crashes(crash_watch const& state,
                            gateway_request const& request,
                            kernel::monotonic_time now)
{
    if (state.suspects.suspicions.empty())
        return 0;
    return retry::counted_servers(state.suspects, crash_fingerprint(request), now);
}

bool is_quarantined(crash_watch const& state,
                    gateway_request const& request,
                    kernel::monotonic_time now)
{
    // Usually there are no suspects, and computing the fingerprint can be avoided.
    return !state.suspects.suspicions.empty() &&
           retry::is_quarantined(state.suspects, crash_fingerprint(request), now);
}

bool permits_trial_run(crash_watch& state,
                       std::uint64_t fingerprint,
                       std::span<std::string const> hosts,
                       moment const& at)
{
    auto* const decision = find_decision(state, fingerprint);
    auto const* const entry = retry::find_suspicion(state.suspects, fingerprint, at.now);
    if (decision == nullptr || entry == nullptr || hosts.empty() || is_final(decision->published) ||
        !is_doubtful(*decision, *entry, hosts.size()))
        return false;
    auto const& trial = entry->trial;
    bool const is_open = trial.opens_at != kernel::monotonic_time::max();
    // Answers may also come from runs that began before the quarantine.
    bool const has_begun = is_open && (trial.answers > 0 || trial.running > 0);
    if (!has_begun && !is_own_turn(state, *decision, hosts, at))
        return false;
    if (!is_open)
        retry::open_trial(state.suspects, fingerprint, at.now);
    return retry::may_start_trial_run(state.suspects, fingerprint, at.now);
}

void record_refusal(crash_watch& state, std::uint64_t fingerprint, kernel::monotonic_time now)
{
    auto* const decision = find_decision(state, fingerprint);
    if (decision == nullptr)
        return;
    if (now - decision->refusals_since >= refusal_window)
    {
        decision->refusals_since = now;
        decision->refusals = 0;
    }
    ++decision->refusals;
}

void pause_trial(crash_watch& state, std::uint64_t fingerprint, kernel::monotonic_time now)
{
    auto const* const entry = retry::find_suspicion(state.suspects, fingerprint, now);
    if (entry != nullptr && entry->is_quarantined && entry->trial.opens_at < now + check_time)
        retry::open_trial(state.suspects, fingerprint, now + check_time);
}

void record_lost_server(crash_watch& state, std::string_view server, kernel::monotonic_time now)
{
    add_detected_crash(state, {std::string(server), now});
}

bool has_failed_trial(crash_watch const& state)
{
    return std::any_of(state.decisions.begin(),
                       state.decisions.end(),
                       [](auto const& entry)
                       {
                           return entry.second.failure.has_value();
                       });
}

std::vector<fleet::quarantined_request> judge_failed_trials(crash_watch& state, moment const& at)
{
    std::vector<fleet::quarantined_request> judged;
    for (auto& [fingerprint, decision] : state.decisions)
    {
        if (!decision.failure)
            continue;
        auto const failure = *decision.failure;
        // Other hosts may have found that the request was running at another crashed server too.
        bool const is_repeated = at.now - failure.detected_at >= propagation_time &&
                                 (failure.answers >= answers_to_retrial ||
                                  has_related_crash(state, fingerprint, failure, at.now));
        bool const is_over = at.now - failure.detected_at >= judgement_time(state);
        if (is_repeated ||
            (is_over &&
             has_other_suspect(state, fingerprint, failure.crash.backend_server, at.now)))
            decide(decision, state, decision.published.failed_trials, milliseconds(0), at);
        else if (is_over)
            decide(decision, state, max_failed_trials, milliseconds(0), at);
        else
            continue;
        judged.push_back(decision.published);
    }
    return judged;
}

bool is_final(fleet::quarantined_request const& decision)
{
    return decision.failed_trials >= max_failed_trials;
}

std::chrono::milliseconds
quarantine_wait(crash_watch const& state, std::uint64_t fingerprint, moment const& at)
{
    auto const found = state.decisions.find(fingerprint);
    if (found == state.decisions.end())
        return milliseconds(0);
    auto const& decision = found->second.published;
    auto const left = decision.ends_at_ms - std::min(decision.ends_at_ms, at.wall_clock_ms);
    return is_final(decision) ? milliseconds(left)
                              : std::min<milliseconds>(milliseconds(left), trial_turn);
}

void expire(crash_watch& state, kernel::monotonic_time now)
{
    while (!state.pending_breaks.empty() &&
           now - state.pending_breaks.front().broken_at >= crash_detection_window)
        state.pending_breaks.pop_front();
    while (!state.detected_crashes.empty() && now - state.detected_crashes.front().detected_at >=
                                                  trial_turn * trial_turns + judgement_time(state))
        state.detected_crashes.pop_front();
    while (!state.own_reports.empty() && now >= state.own_reports.front().second)
        state.own_reports.pop_front();
    std::erase_if(state.counted_crashes,
                  [now](auto const& entry)
                  {
                      return now >= entry.second;
                  });
    retry::expire(state.suspects, now);
    std::erase_if(state.decisions,
                  [&state, now](auto const& entry)
                  {
                      auto const& [fingerprint, decision] = entry;
                      return now >= decision.expires_at ||
                             (!decision.published.is_released &&
                              !retry::is_quarantined(state.suspects, fingerprint, now));
                  });
    std::erase_if(state.reporters,
                  [&state](auto const& entry)
                  {
                      return !state.suspects.suspicions.contains(entry.first);
                  });
}

fleet::crash_knowledge collect_crash_knowledge(crash_watch const& state,
                                               std::string const& own,
                                               std::span<std::string const> hosts)
{
    fleet::crash_knowledge result;
    for (auto const& [report, expires_at] : state.own_reports)
        result.reports.push_back(report);
    std::vector<fleet::quarantined_request> quarantines;
    std::vector<fleet::quarantined_request> releases;
    for (auto const& [fingerprint, decision] : state.decisions)
    {
        auto const& published = decision.published;
        if (keeps_copy(published, own, hosts))
            (published.is_released ? releases : quarantines).push_back(published);
    }
    publish_latest(result.quarantines, std::move(quarantines));
    publish_latest(result.quarantines, std::move(releases));
    return result;
}

} // namespace pistachiohub::gateway
