#include "plugins/admin/status_report.hpp"

#include "kernel/metrics_document.hpp"

#include <boost/json.hpp>

namespace pistachiohub::admin
{

namespace
{

namespace json = boost::json;

std::string_view to_string(view::member_state state)
{
    switch (state)
    {
    case view::member_state::live:
        return "live";
    case view::member_state::leaving:
        return "leaving";
    case view::member_state::silent:
        break;
    }
    return "silent";
}

json::object to_json(view::world_view const& world, view::entry_host const& host)
{
    auto const& domains = world.configuration->failure_domains;
    bool const has_domain = host.failure_domain < domains.size();
    return {{"name", host.name},
            {"address", host.address},
            {"failure_domain", has_domain ? domains[host.failure_domain].name : ""},
            {"state", to_string(host.state)},
            {"incarnation", host.incarnation},
            {"configuration_version", host.configuration_version}};
}

json::object to_json(view::world_view const& world, view::backend_server const& server)
{
    auto const& services = world.configuration->services;
    bool const has_service = server.service < services.size();
    json::object result{{"name", server.name},
                        {"address", server.address},
                        {"port", server.port},
                        {"service", has_service ? services[server.service].name : ""},
                        {"state", to_string(server.state)},
                        {"slot_share", server.slot_share}};
    if (server.reported_load >= 0)
        result["reported_load"] = server.reported_load;
    return result;
}

} // namespace

std::string make_status(kernel::daemon_context& context, view::world_view const* world)
{
    json::array members;
    json::array servers;
    bool const has_view = world != nullptr && world->configuration != nullptr;
    if (has_view)
    {
        for (auto const& host : world->entry_hosts)
            members.push_back(to_json(*world, host));
        for (auto const& server : world->backend_servers)
            servers.push_back(to_json(*world, server));
    }
    json::object const status{
        {"name", context.own_settings().name},
        {"incarnation", context.incarnation()},
        {"failure_domain", context.own_settings().failure_domain},
        {"configuration_version", has_view ? world->configuration->version : 0},
        {"is_draining", context.is_draining()},
        {"members", std::move(members)},
        {"backend_servers", std::move(servers)},
        {"counters", kernel::counters_document(context.own_metrics())}};
    return json::serialize(status);
}

} // namespace pistachiohub::admin
