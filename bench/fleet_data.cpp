#include "bench/fleet_data.hpp"

#include <cassert>

namespace pistachiohub::bench
{

namespace
{

constexpr unsigned block_prefix = 24;

std::string domain_name(std::size_t domain)
{
    return "domain-" + std::to_string(domain);
}

events::host_list_received make_host_list(fleet_size const& size, std::size_t domain)
{
    events::host_list_received list;
    list.failure_domain = domain_name(domain);
    for (std::size_t host = 0; host < size.hosts_in_domain; ++host)
        list.entry_hosts.push_back({host_name(domain, host), "10.100.200.30", 1, 2, 3, false});
    auto const servers = domain == 0 ? size.services * size.servers_for_each_service : 0;
    for (std::size_t server = 0; server < servers; ++server)
        list.backend_servers.push_back({"server-" + std::to_string(server),
                                        "10.100.200.31",
                                        80,
                                        "service-" + std::to_string(server % size.services),
                                        false});
    return list;
}

} // namespace

std::string host_name(std::size_t domain, std::size_t host)
{
    return "d" + std::to_string(domain) + "-host-" + std::to_string(host);
}

std::shared_ptr<configuration::configuration const> make_configuration(fleet_size const& size)
{
    assert(size.failure_domains > 0 && size.regions > 0);
    configuration::configuration document;
    document.version = 1;
    for (std::size_t domain = 0; domain < size.failure_domains; ++domain)
        document.failure_domains.push_back(
            {domain_name(domain), "region-" + std::to_string(domain % size.regions), 1});
    for (std::size_t number = 0; number < size.services; ++number)
    {
        auto& service = document.services.emplace_back();
        service.name = "service-" + std::to_string(number);
        service.slots = 4;
    }
    for (std::size_t number = 0; number < size.client_blocks; ++number)
    {
        auto const network = static_cast<std::uint32_t>(number) << (32U - block_prefix);
        document.client_blocks.push_back(
            {network, block_prefix, domain_name(number * 7919 % size.failure_domains)});
    }
    return std::make_shared<configuration::configuration const>(std::move(document));
}

membership::control_state make_control_state(fleet_size const& size, kernel::monotonic_time now)
{
    kernel::settings settings;
    settings.name = host_name(0, 0);
    settings.failure_domain = domain_name(0);
    settings.address = "10.100.200.30";
    settings.caller_port = 1;
    settings.peer_port = 2;
    membership::control_state state(settings, first_incarnation, 0, now);
    state.handle(events::configuration_received{make_configuration(size),
                                                std::make_shared<std::string const>("{}")},
                 now);
    for (std::size_t domain = 0; domain < size.failure_domains; ++domain)
        state.handle(make_host_list(size, domain), now);
    for (std::size_t domain = 0; domain < size.failure_domains; ++domain)
    {
        for (std::size_t host = 0; host < size.hosts_in_domain; ++host)
            state.handle(
                events::peer_heard{
                    host_name(domain, host), first_incarnation, 1, messages::heartbeat{}},
                now);
    }
    state.tick(false, now);
    std::ignore = state.take_commands();
    std::ignore = state.take_notices();
    return state;
}

} // namespace pistachiohub::bench
