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
    return retry::fingerprint(request.service, text);
}

void note_break(crash_watch& state,
                std::uint64_t fingerprint,
                std::string_view server,
                kernel::monotonic_time now)
{
    if (state.open.size() >= most_open_breaks)
        state.open.pop_front();
    state.open.push_back({fingerprint, std::string(server), now});
}

std::vector<std::uint64_t>
note_crash(crash_watch& state, std::string_view server, kernel::monotonic_time now)
{
    std::vector<std::uint64_t> fingerprints;
    std::erase_if(state.open,
                  [&](open_break const& broken)
                  {
                      if (broken.server != server)
                          return false;
                      if (now - broken.at < crash_evidence_time)
                          fingerprints.push_back(broken.fingerprint);
                      return true;
                  });
    for (auto const fingerprint : fingerprints)
    {
        static_cast<void>(retry::record_connection_loss(
            state.suspects, fingerprint, server, now, crashes_to_quarantine));
        state.found.push_back({{fingerprint, std::string(server)}, now + retry::quarantine_time});
        if (state.found.size() > most_crash_reports)
            state.found.pop_front();
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
        if (state.heard.size() >= most_heard_reports)
            break;
        bool const is_new = state.heard
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

void note_answer(crash_watch& state, gateway_request const& request)
{
    if (state.suspects.suspicions.empty())
        return;
    auto const fingerprint = crash_fingerprint(request);
    retry::record_answered(state.suspects, fingerprint);
    std::erase_if(state.found,
                  [fingerprint](auto const& entry)
                  {
                      return entry.first.fingerprint == fingerprint;
                  });
}

bool is_quarantined(crash_watch const& state,
                    gateway_request const& request,
                    kernel::monotonic_time now)
{
    // Without a suspect, which is the rule, no fingerprint has to be computed.
    return !state.suspects.suspicions.empty() &&
           retry::is_quarantined(state.suspects, crash_fingerprint(request), now);
}

void expire(crash_watch& state, kernel::monotonic_time now)
{
    while (!state.open.empty() && now - state.open.front().at >= crash_evidence_time)
        state.open.pop_front();
    while (!state.found.empty() && now >= state.found.front().second)
        state.found.pop_front();
    std::erase_if(state.heard,
                  [now](auto const& entry)
                  {
                      return now >= entry.second;
                  });
    retry::expire(state.suspects, now);
}

std::vector<fleet::crash_report> reports_of(crash_watch const& state)
{
    std::vector<fleet::crash_report> reports;
    for (auto const& [report, forgotten_at] : state.found)
        reports.push_back(report);
    return reports;
}

} // namespace pistachiohub::gateway
