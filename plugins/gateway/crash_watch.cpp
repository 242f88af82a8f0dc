#include "plugins/gateway/crash_watch.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

std::uint64_t crash_fingerprint(gateway_request const& request)
{
    std::string text = request.caller_address;
    for (std::string_view const part : {std::string_view(request.message.method),
                                        std::string_view(request.message.target),
                                        std::string_view(request.message.body)})
    {
        text += '\n';
        text += part;
    }
    // The route may move to another service, or be split between several, so the service is no part
    // of the request's identity.
    return retry::fingerprint({}, text);
}

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
        state.own_reports.push_back(
            {{fingerprint, std::string(server)}, now + retry::quarantine_time});
        if (state.own_reports.size() > max_crash_reports)
            state.own_reports.pop_front();
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
}

std::vector<fleet::crash_report> collect_reports(crash_watch const& state)
{
    std::vector<fleet::crash_report> reports;
    for (auto const& [report, expires_at] : state.own_reports)
        reports.push_back(report);
    return reports;
}

} // namespace pistachiohub::gateway
