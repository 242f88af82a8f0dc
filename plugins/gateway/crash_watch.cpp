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

// Returns whether this host is one of those that publish the quarantine.
bool keeps_copy(std::uint64_t fingerprint,
                std::string const& own,
                std::span<std::string const> hosts)
{
    return hosts.size() <= quarantine_copies ||
           daemon_rank_for_server(std::to_string(fingerprint), own, hosts) < quarantine_copies;
}

} // namespace

void add_pending_break(crash_watch& state,
                       std::uint64_t fingerprint,
                       std::string_view server,
                       kernel::monotonic_time now)
{
    if (state.pending_breaks.size() >= max_pending_breaks)
        state.pending_breaks.pop_front();
    state.pending_breaks.push_back({fingerprint, std::string(server), now});
}

std::vector<std::uint64_t>
record_crash(crash_watch& state, std::string_view server, kernel::monotonic_time now)
{
    std::vector<std::uint64_t> fingerprints;
    std::erase_if(state.pending_breaks,
                  [&](pending_break const& pending)
                  {
                      if (pending.server != server)
                          return false;
                      if (now - pending.broken_at < crash_detection_window)
                          fingerprints.push_back(pending.fingerprint);
                      return true;
                  });
    for (auto const fingerprint : fingerprints)
    {
        static_cast<void>(retry::record_connection_loss(
            state.suspects, fingerprint, server, now, crashes_to_quarantine));
        add_own_report(state, {fingerprint, std::string(server)}, now);
    }
    return fingerprints;
}

std::vector<std::uint64_t> apply_reports(crash_watch& state,
                                         std::span<fleet::crash_report const> reports,
                                         kernel::monotonic_time now)
{
    std::vector<std::uint64_t> quarantined;
    for (auto const& report : reports)
    {
        if (state.received_reports.size() >= max_received_reports)
            break;
        bool const is_new = state.received_reports
                                .try_emplace({report.fingerprint, report.backend_server},
                                             now + retry::quarantine_time)
                                .second;
        if (is_new && retry::record_connection_loss(state.suspects,
                                                    report.fingerprint,
                                                    report.backend_server,
                                                    now,
                                                    crashes_to_quarantine))
            quarantined.push_back(report.fingerprint);
    }
    return quarantined;
}

void begin_quarantines(crash_watch& state,
                       std::span<std::uint64_t const> fingerprints,
                       std::uint64_t wall_clock_ms)
{
    constexpr auto length =
        std::chrono::duration_cast<std::chrono::milliseconds>(retry::quarantine_time);
    for (auto const fingerprint : fingerprints)
        state.quarantine_ends_ms.try_emplace(fingerprint, wall_clock_ms + length.count());
}

std::vector<std::uint64_t> apply_quarantines(crash_watch& state,
                                             std::span<fleet::quarantined_request const> published,
                                             std::uint64_t wall_clock_ms,
                                             kernel::monotonic_time now)
{
    using std::chrono::milliseconds;
    constexpr auto length = std::chrono::duration_cast<milliseconds>(retry::quarantine_time);
    std::vector<std::uint64_t> begun;
    for (auto const& known : published)
    {
        if (known.ends_at_ms <= wall_clock_ms ||
            state.quarantine_ends_ms.size() >= retry::max_fingerprints)
            continue;
        auto const latest_end = wall_clock_ms + static_cast<std::uint64_t>(length.count());
        auto const ends_at_ms = std::min(known.ends_at_ms, latest_end);
        if (!state.quarantine_ends_ms.try_emplace(known.fingerprint, ends_at_ms).second)
            continue;
        auto const remaining = milliseconds(ends_at_ms - wall_clock_ms);
        retry::set_quarantined(state.suspects, known.fingerprint, true, now + remaining);
        begun.push_back(known.fingerprint);
    }
    return begun;
}

std::vector<std::uint64_t> restore_reports(crash_watch& state,
                                           std::span<fleet::crash_report const> reports,
                                           kernel::monotonic_time now)
{
    for (auto const& report : reports)
    {
        bool const is_known = std::any_of(state.own_reports.begin(),
                                          state.own_reports.end(),
                                          [&report](auto const& own)
                                          {
                                              return own.first == report;
                                          });
        if (!is_known)
            add_own_report(state, report, now);
    }
    return apply_reports(state, reports, now);
}

std::size_t record_answer(crash_watch& state, gateway_request const& request)
{
    if (state.suspects.suspicions.empty())
        return 0;
    auto const fingerprint = crash_fingerprint(request);
    auto const cleared = retry::record_answered(state.suspects, fingerprint);
    std::erase_if(state.own_reports,
                  [fingerprint](auto const& entry)
                  {
                      return entry.first.fingerprint == fingerprint;
                  });
    return cleared;
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

void expire(crash_watch& state, kernel::monotonic_time now)
{
    while (!state.pending_breaks.empty() &&
           now - state.pending_breaks.front().broken_at >= crash_detection_window)
        state.pending_breaks.pop_front();
    while (!state.own_reports.empty() && now >= state.own_reports.front().second)
        state.own_reports.pop_front();
    std::erase_if(state.received_reports,
                  [now](auto const& entry)
                  {
                      return now >= entry.second;
                  });
    retry::expire(state.suspects, now);
    std::erase_if(state.quarantine_ends_ms,
                  [&state, now](auto const& entry)
                  {
                      return !retry::is_quarantined(state.suspects, entry.first, now);
                  });
}

fleet::crash_knowledge collect_crash_knowledge(crash_watch const& state,
                                               std::string const& own,
                                               std::span<std::string const> hosts)
{
    fleet::crash_knowledge result;
    for (auto const& [report, expires_at] : state.own_reports)
        result.reports.push_back(report);
    for (auto const& [fingerprint, ends_at_ms] : state.quarantine_ends_ms)
    {
        if (keeps_copy(fingerprint, own, hosts))
            result.quarantines.push_back({fingerprint, ends_at_ms});
    }
    std::stable_sort(result.quarantines.begin(),
                     result.quarantines.end(),
                     [](auto const& left, auto const& right)
                     {
                         return left.ends_at_ms > right.ends_at_ms;
                     });
    if (result.quarantines.size() > max_published_quarantines)
        result.quarantines.resize(max_published_quarantines);
    return result;
}

} // namespace pistachiohub::gateway
