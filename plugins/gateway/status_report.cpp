#include "plugins/gateway/status_report.hpp"

#include "kernel/metrics_document.hpp"

#include <boost/json.hpp>

namespace pistachiohub::gateway
{

namespace
{

namespace json = boost::json;

std::string_view state_name(fleet::entry_host const& host, bool is_known_live)
{
    if (host.is_leaving)
        return "leaving";
    return is_known_live ? "live" : "silent";
}

json::object to_json(fleet::entry_host const& host, bool is_known_live)
{
    return {{"name", host.name},
            {"address", host.callers.address},
            {"failure_domain", host.failure_domain},
            {"state", state_name(host, is_known_live)},
            {"incarnation", host.incarnation}};
}

std::string_view state_name(server_table const& table, known_server const& server)
{
    if (server.record.is_leaving)
        return "leaving";
    if (server.missing_since)
        return "missing";
    return is_usable(table, server) ? "live" : "evacuated";
}

std::string_view state_name(fleet::quarantined_request const& decision)
{
    if (decision.is_released)
        return "released";
    return is_final(decision) ? "final" : "open_to_trial";
}

json::object
to_json(server_table const& table, known_server const& server, kernel::monotonic_time now)
{
    return {{"name", server.record.id},
            {"address", server.record.address.address},
            {"port", server.record.address.port},
            {"service", server.record.service},
            {"failure_domain", server.record.failure_domain},
            {"state", state_name(table, server)},
            {"slots", server.record.slots},
            {"estimated_load", estimated_load(server, now)},
            {"is_cold", server.cold_until > now},
            {"is_avoided", server.backoff_until > now},
            {"version", server.version}};
}

json::object to_json(crash_watch const& watch,
                     fleet::quarantined_request const& decision,
                     kernel::monotonic_time now)
{
    json::array crashes;
    std::size_t answers = 0;
    if (auto const* const entry = retry::find_suspicion(watch.suspects, decision.fingerprint, now))
    {
        answers = entry->trial.answers;
        for (auto const& crash : entry->crashes)
            crashes.push_back(json::string(crash.backend_server));
    }
    return {{"fingerprint", std::to_string(decision.fingerprint)},
            {"state", state_name(decision)},
            {"decided_by", decision.decided_by},
            {"decided_at_ms", decision.decided_at_ms},
            {"ends_at_ms", decision.ends_at_ms},
            {"failed_trials", decision.failed_trials},
            {"answers", answers},
            {"crashes", std::move(crashes)}};
}

} // namespace

std::string
make_status(kernel::daemon_context& context, dispatcher const& source, kernel::monotonic_time now)
{
    json::array members;
    members.push_back(to_json(source.hosts().own, true));
    for (auto const& [name, host] : source.hosts().hosts)
        members.push_back(to_json(host.record, is_live(source.hosts(), host, now)));
    json::array servers;
    for (auto const& [id, server] : source.servers().servers)
        servers.push_back(to_json(source.servers(), *server, now));
    json::array quarantines;
    for (auto const& [fingerprint, decision] : source.crashes().decisions)
        quarantines.push_back(to_json(source.crashes(), decision.published, now));
    return json::serialize(json::object{
        {"name", context.own_settings().name},
        {"incarnation", context.incarnation()},
        {"failure_domain", context.own_settings().failure_domain},
        {"configuration_version", source.table() ? source.table()->document.version : 0},
        {"is_draining", context.is_draining()},
        {"is_ready", source.is_ready() && !context.is_draining()},
        {"members", std::move(members)},
        {"backend_servers", std::move(servers)},
        {"quarantines", std::move(quarantines)},
        {"counters", kernel::counters_document(context.own_metrics())}});
}

} // namespace pistachiohub::gateway
