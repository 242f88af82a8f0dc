#include "tests/membership/fleet.hpp"

#include <algorithm>

namespace pistachiohub::testing
{

namespace
{

constexpr kernel::duration step_time = std::chrono::milliseconds(25);

} // namespace

fleet::fleet(std::vector<std::string> domains, std::size_t hosts_in_domain, std::uint64_t seed)
    : is_connected(
          [](std::string const&, std::string const&)
          {
              return true;
          })
    , m_domains(std::move(domains))
    , m_random(seed)
{
    for (auto const& domain : m_domains)
    {
        for (std::size_t number = 1; number <= hosts_in_domain; ++number)
        {
            auto const name = domain + "-h" + std::to_string(number);
            auto& settings = m_daemons[name].settings;
            settings.name = name;
            settings.failure_domain = domain;
            settings.address = "10.0.0.1";
            settings.caller_port = 1;
            settings.peer_port = 2;
        }
    }
    for (auto const& name : names())
        start(name);
}

void fleet::start(std::string const& name)
{
    auto& daemon = at(name);
    daemon.incarnation = m_next_incarnation++;
    auto const jitter = static_cast<double>(m_random() % 1000) / 1000;
    daemon.state = std::make_unique<membership::control_state>(
        daemon.settings, daemon.incarnation, jitter, m_now);
    daemon.is_running = true;
    daemon.is_draining = false;
    daemon.highest_version = 0;
    send_host_list(name);
}

void fleet::kill(std::string const& name)
{
    at(name).is_running = false;
}

void fleet::advance(kernel::duration time)
{
    for (auto const end = m_now + time; m_now < end;)
        step();
}

void fleet::publish_configuration(std::string const& name, std::uint64_t version)
{
    at(name).state->handle(make_configuration(version), m_now);
}

void fleet::send_host_list(std::string const& name)
{
    for (auto const& domain : m_domains)
        at(name).state->handle(make_list(domain), m_now);
    poll_store(name);
}

void fleet::list_leaving(std::string const& backend_server)
{
    ++m_revision;
    m_leaving_servers.insert(backend_server);
}

void fleet::poll_store(std::string const& name, std::string const& domain)
{
    auto& daemon = at(name);
    ++daemon.store_polls;
    if (!domain.empty())
        daemon.state->handle(make_list(domain), m_now);
    daemon.state->handle(events::host_list_polled{true, m_revision, false}, m_now);
}

simulated_daemon& fleet::at(std::string const& name)
{
    return m_daemons.at(name);
}

std::vector<std::string> fleet::names() const
{
    std::vector<std::string> names;
    for (auto const& [name, daemon] : m_daemons)
        names.push_back(name);
    return names;
}

kernel::monotonic_time fleet::now() const
{
    return m_now;
}

view::member_state fleet::state(std::string const& observer, std::string const& host)
{
    auto const& world = *at(observer).world;
    return world.entry_hosts.at(view::find_entry_host(world, host)).state;
}

void fleet::step()
{
    m_now += step_time;
    while (!m_network.empty() && m_network.begin()->first <= m_now)
    {
        auto const message = m_network.extract(m_network.begin());
        deliver(message.mapped());
    }
    for (auto& [name, daemon] : m_daemons)
    {
        if (daemon.is_running && !daemon.is_frozen)
            run(daemon);
    }
}

void fleet::run(simulated_daemon& daemon)
{
    daemon.state->tick(daemon.is_draining, m_now);
    if (auto world = daemon.state->take_view(m_now))
    {
        ++daemon.publications;
        auto const version = world->configuration->version;
        daemon.has_reverted = daemon.has_reverted || version < daemon.highest_version;
        daemon.highest_version = std::max(daemon.highest_version, version);
        daemon.world = std::move(world);
    }
    for (auto& command : daemon.state->take_commands())
    {
        if (std::holds_alternative<messages::host_list_request>(command.content))
            ++daemon.list_requests_sent;
        auto const delay = std::chrono::milliseconds(1 + m_random() % 40);
        m_network.emplace(m_now + delay,
                          message_in_flight{daemon.settings.name,
                                            daemon.incarnation,
                                            daemon.world->configuration->version,
                                            std::move(command)});
    }
}

void fleet::deliver(message_in_flight const& message)
{
    auto& daemon = at(message.command.recipient);
    if (!daemon.is_running || !is_connected(message.sender, message.command.recipient))
        return;
    if (daemon.is_frozen)
    {
        // The operating system keeps what a frozen process does not read.
        m_network.emplace(m_now + step_time, message);
        return;
    }
    events::peer_heard heard{
        message.sender, message.sender_incarnation, message.version, std::nullopt};
    auto const& content = message.command.content;
    if (auto const* const beat = std::get_if<messages::heartbeat>(&content))
        heard.beat = *beat;
    daemon.state->handle(std::move(heard), m_now);
    if (std::holds_alternative<messages::configuration_request>(content))
        daemon.state->handle(events::configuration_wanted{message.sender}, m_now);
    if (auto const* const document = std::get_if<messages::configuration_document>(&content))
        daemon.state->handle(make_configuration(document->version), m_now);
    if (auto const* const request = std::get_if<messages::host_list_request>(&content))
        daemon.state->handle(events::host_list_wanted{message.sender, request->revision}, m_now);
    if (auto const* const list = std::get_if<messages::host_list>(&content))
        daemon.state->handle(events::host_list_told{message.sender, *list}, m_now);
}

events::host_list_received fleet::make_list(std::string const& domain) const
{
    events::host_list_received list;
    list.failure_domain = domain;
    for (auto const& [name, daemon] : m_daemons)
    {
        if (daemon.settings.failure_domain == domain)
            list.entry_hosts.push_back({name, daemon.settings.address, 1, 2, 3, false});
    }
    for (int number = 1; number <= 2; ++number)
    {
        auto const server = domain + "-s" + std::to_string(number);
        list.backend_servers.push_back(
            {server, "10.0.1.1", 80, "balance", m_leaving_servers.contains(server)});
    }
    list.revision = m_revision;
    return list;
}

events::configuration_received fleet::make_configuration(std::uint64_t version) const
{
    configuration::configuration document;
    document.version = version;
    for (auto const& domain : m_domains)
        document.failure_domains.push_back({domain, domain.substr(0, domain.find('-')), 1});
    auto& service = document.services.emplace_back();
    service.name = "balance";
    service.slots = 9;
    return {std::make_shared<configuration::configuration const>(std::move(document)),
            std::make_shared<std::string const>("{}")};
}

} // namespace pistachiohub::testing
