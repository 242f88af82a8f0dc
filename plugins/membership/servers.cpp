#include "plugins/membership/servers.hpp"

#include <algorithm>

namespace pistachiohub::membership
{

namespace
{

using view::member_state;

bool is_seen_leaving(server_record const& server)
{
    return server.is_listed_leaving || server.unlisted_since || server.is_observed_leaving;
}

member_state find_state(server_record const& server)
{
    // The list may lag behind the server and the server's answer may be older than the list, so a
    // server that was leaving is live again only when both say so.
    if (is_seen_leaving(server) || server.left_at)
        return member_state::leaving;
    if (server.failed_connections >= failures_to_silence)
        return member_state::silent;
    return member_state::live;
}

server_change update_state(server_record& server, kernel::monotonic_time now)
{
    if (is_seen_leaving(server))
        server.left_at = now;
    auto const state = find_state(server);
    if (state == server.state)
        return server_change::none;
    if (state == member_state::live)
        server.live_since = now;
    server.state = state;
    return server_change::state;
}

server_record& add_server(server_table& table, std::string const& name, kernel::monotonic_time now)
{
    table.positions.emplace(name, table.servers.size());
    auto& server = table.servers.emplace_back();
    server.name = name;
    if (table.has_list)
        server.live_since = now;
    return server;
}

server_change apply_listed(server_table& table,
                           events::listed_backend_server const& listed,
                           kernel::monotonic_time now)
{
    auto const known = table.positions.find(listed.name);
    bool const is_new = known == table.positions.end();
    auto& server = is_new ? add_server(table, listed.name, now) : table.servers[known->second];
    bool const is_moved = server.address != listed.address || server.port != listed.port ||
                          server.service != listed.service;
    server.address = listed.address;
    server.port = listed.port;
    server.service = listed.service;
    server.is_listed_leaving = listed.is_leaving;
    server.unlisted_since.reset();
    auto const change = update_state(server, now);
    return is_new || is_moved ? server_change::state : change;
}

bool is_named(std::vector<events::listed_backend_server> const& list, std::string const& name)
{
    return std::any_of(list.begin(),
                       list.end(),
                       [&name](events::listed_backend_server const& listed)
                       {
                           return listed.name == name;
                       });
}

} // namespace

server_change apply_server_list(server_table& table,
                                std::vector<events::listed_backend_server> const& list,
                                kernel::monotonic_time now)
{
    auto result = server_change::none;
    for (auto const& listed : list)
        result = std::max(result, apply_listed(table, listed, now));
    for (auto& server : table.servers)
    {
        if (server.unlisted_since || is_named(list, server.name))
            continue;
        server.unlisted_since = now;
        result = std::max(result, update_state(server, now));
    }
    table.has_list = true;
    return result;
}

server_change apply_observation(server_table& table,
                                events::backend_observation const& observation,
                                kernel::monotonic_time now)
{
    auto const known = table.positions.find(observation.backend_server);
    if (known == table.positions.end())
        return server_change::none;
    auto& server = table.servers[known->second];
    if (observation.observed_at < server.observed_at)
        return server_change::none;
    server.observed_at = observation.observed_at;
    if (!observation.is_reachable)
    {
        ++server.failed_connections;
        return update_state(server, now);
    }
    server.failed_connections = 0;
    server.is_observed_leaving = observation.is_leaving;
    bool const is_back = !is_seen_leaving(server) && server.left_at &&
                         observation.observed_at >= *server.left_at + return_delay;
    if (is_back)
        server.left_at.reset();
    auto const change = update_state(server, now);
    if (observation.load < 0)
        return change;
    server.reported_load = observation.load;
    server.reported_at = observation.observed_at;
    return std::max(change, server_change::load);
}

bool remove_unlisted_servers(server_table& table, kernel::monotonic_time now)
{
    auto const removed = std::erase_if(table.servers,
                                       [now](server_record const& server)
                                       {
                                           return server.unlisted_since &&
                                                  now - *server.unlisted_since >= removal_delay;
                                       });
    if (removed == 0)
        return false;
    table.positions.clear();
    for (std::size_t position = 0; position < table.servers.size(); ++position)
        table.positions.emplace(table.servers[position].name, position);
    return true;
}

} // namespace pistachiohub::membership
