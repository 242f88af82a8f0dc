#include "plugins/membership/view_builder.hpp"

#include "libraries/view/client_table.hpp"
#include "plugins/limit/slot_share.hpp"

#include <algorithm>
#include <unordered_map>

namespace pistachiohub::membership
{

namespace
{

using name_indices = std::unordered_map<std::string_view, view::index>;

template<class Named>
name_indices index_names(std::vector<Named> const& items)
{
    name_indices indices;
    indices.reserve(items.size());
    for (view::index position = 0; position < items.size(); ++position)
        indices.emplace(items[position].name, position);
    return indices;
}

view::index find_index(name_indices const& indices, std::string_view name)
{
    auto const found = indices.find(name);
    return found == indices.end() ? view::no_index : found->second;
}

view::entry_host make_own_host(own_facts const& own,
                               std::uint64_t configuration_version,
                               name_indices const& domains)
{
    view::entry_host host;
    host.name = own.settings.name;
    host.address = own.settings.address;
    host.caller_port = own.settings.caller_port;
    host.peer_port = own.settings.peer_port;
    host.failure_domain = find_index(domains, own.settings.failure_domain);
    host.state = own.is_draining ? view::member_state::leaving : view::member_state::live;
    host.incarnation = own.incarnation;
    host.epoch = own.epoch;
    host.configuration_version = configuration_version;
    return host;
}

view::entry_host
make_host(member const& source, name_indices const& domains, name_indices const& services)
{
    view::entry_host host;
    host.name = source.name;
    host.address = source.address;
    host.caller_port = source.caller_port;
    host.peer_port = source.peer_port;
    host.failure_domain = find_index(domains, source.failure_domain);
    host.state = source.state;
    host.incarnation = source.incarnation;
    host.epoch = source.epoch;
    host.configuration_version = source.configuration_version;
    for (auto const& offer : source.credits)
    {
        auto const service = find_index(services, offer.service);
        if (service != view::no_index)
            host.credits.push_back({service, offer.slots, source.credits_expire_at});
    }
    return host;
}

view::backend_server
make_server(server_record const& source, name_indices const& services, std::uint32_t slot_share)
{
    view::backend_server server;
    server.name = source.name;
    server.address = source.address;
    server.port = source.port;
    server.service = find_index(services, source.service);
    server.state = source.state;
    server.reported_load = source.reported_load;
    server.reported_at = source.reported_at;
    server.live_since = source.live_since;
    server.slot_share = slot_share;
    return server;
}

std::vector<std::uint32_t> make_slot_shares(configuration::configuration const& document,
                                            name_indices const& services,
                                            server_table const& servers,
                                            std::vector<std::string> const& sharing_hosts,
                                            std::string_view own_name)
{
    std::vector<std::string_view> const hosts(sharing_hosts.begin(), sharing_hosts.end());
    std::vector<std::uint32_t> shares;
    shares.reserve(servers.servers.size());
    for (auto const& server : servers.servers)
    {
        auto const service = find_index(services, server.service);
        auto const slots = service == view::no_index ? 0 : document.services[service].slots;
        shares.push_back(limit::slot_share(slots, server.name, hosts, own_name));
    }
    return shares;
}

bool has_same_domains(configuration::configuration const& left,
                      configuration::configuration const& right)
{
    return std::equal(left.failure_domains.begin(),
                      left.failure_domains.end(),
                      right.failure_domains.begin(),
                      right.failure_domains.end(),
                      [](auto const& one, auto const& other)
                      {
                          return one.name == other.name && one.region == other.region;
                      });
}

/// @returns true if the orders of entry hosts do not differ.
bool has_same_orders(configuration::configuration const& left,
                     configuration::configuration const& right)
{
    return has_same_domains(left, right) &&
           std::equal(left.services.begin(),
                      left.services.end(),
                      right.services.begin(),
                      right.services.end(),
                      [](auto const& one, auto const& other)
                      {
                          return one.name == other.name &&
                                 one.steering_policy.regions == other.steering_policy.regions;
                      });
}

bool has_same_client_blocks(configuration::configuration const& left,
                            configuration::configuration const& right)
{
    return has_same_domains(left, right) &&
           std::equal(left.client_blocks.begin(),
                      left.client_blocks.end(),
                      right.client_blocks.begin(),
                      right.client_blocks.end(),
                      [](auto const& one, auto const& other)
                      {
                          return one.network == other.network &&
                                 one.prefix_length == other.prefix_length &&
                                 one.failure_domain == other.failure_domain;
                      });
}

void update_lookup_tables(derived_tables& derived, view::world_view const& world)
{
    auto const& document = *world.configuration;
    bool const is_new = derived.source != world.configuration;
    if (!derived.are_hosts_current || !derived.source ||
        (is_new && !has_same_orders(*derived.source, document)))
    {
        derived.orders = make_order_tables(document, world.entry_hosts);
        derived.entry_hosts_by_name = sort_by_name(world.entry_hosts);
        derived.are_hosts_current = true;
    }
    if (!derived.source || (is_new && !has_same_client_blocks(*derived.source, document)))
        derived.client_blocks = std::make_shared<view::client_table const>(
            view::make_client_table(document.client_blocks, document.failure_domains));
}

std::shared_ptr<configuration::configuration const>
effective_configuration(config::held_configuration const& held)
{
    static auto const empty = std::make_shared<configuration::configuration const>();
    return held.document ? held.document : empty;
}

} // namespace

std::shared_ptr<view::world_view const> make_view(own_facts const& own,
                                                  config::held_configuration const& held,
                                                  member_table const& members,
                                                  server_table const& servers,
                                                  std::vector<std::string> const& sharing_hosts,
                                                  derived_tables& derived)
{
    auto const document = effective_configuration(held);
    auto const domains = index_names(document->failure_domains);
    auto const services = index_names(document->services);
    auto world = std::make_shared<view::world_view>();
    world->configuration = document;
    world->own_name = own.settings.name;
    world->own_incarnation = own.incarnation;
    world->own_epoch = own.epoch;
    world->own_failure_domain = find_index(domains, own.settings.failure_domain);
    world->is_draining = own.is_draining;
    world->entry_hosts.reserve(members.members.size() + 1);
    world->entry_hosts.push_back(make_own_host(own, document->version, domains));
    for (auto const& source : members.members)
        world->entry_hosts.push_back(make_host(source, domains, services));
    update_lookup_tables(derived, *world);
    if (!derived.are_servers_current || derived.source != document ||
        derived.sharing_hosts != sharing_hosts)
    {
        derived.slot_shares =
            make_slot_shares(*document, services, servers, sharing_hosts, own.settings.name);
        derived.sharing_hosts = sharing_hosts;
        derived.are_servers_current = true;
    }
    derived.source = document;
    for (std::size_t position = 0; position < servers.servers.size(); ++position)
        world->backend_servers.push_back(
            make_server(servers.servers[position], services, derived.slot_shares[position]));
    world->entry_host_order = derived.orders.entry_host_order;
    world->entry_host_order_starts = derived.orders.entry_host_order_starts;
    world->entry_hosts_by_name = derived.entry_hosts_by_name;
    world->client_blocks = derived.client_blocks;
    return world;
}

} // namespace pistachiohub::membership
