#include "tests/forward/fixture.hpp"

namespace pistachiohub::forward_test
{

namespace
{

configuration::service make_service(std::string_view name,
                                    configuration::service_kind kind,
                                    configuration::journal_mode journal)
{
    configuration::service service;
    service.name = name;
    service.kind = kind;
    service.journal = journal;
    service.slots = 2;
    service.connections = 100;
    service.steering_policy.shift_cap = 1;
    service.steering_policy.shift_rate = 1;
    return service;
}

view::entry_host make_host(std::string_view name, view::index domain, std::uint64_t incarnation)
{
    view::entry_host host;
    host.name = name;
    host.failure_domain = domain;
    host.state = view::member_state::live;
    host.incarnation = incarnation;
    host.epoch = own_epoch;
    return host;
}

} // namespace

configuration::configuration make_configuration()
{
    using configuration::journal_mode;
    using configuration::service_kind;
    configuration::configuration result;
    result.version = 1;
    result.failure_domains = {{"a-1", "a", 1}, {"a-2", "a", 1}, {"b-1", "b", 1}};
    result.services = {
        make_service("look", service_kind::idempotent, journal_mode::none),
        make_service("lock", service_kind::at_most_once, journal_mode::none),
        make_service("order", service_kind::at_most_once, journal_mode::write_ahead)};
    return result;
}

view::world_view make_world()
{
    view::world_view world;
    world.configuration =
        std::make_shared<configuration::configuration const>(make_configuration());
    world.own_name = "own";
    world.own_incarnation = own_incarnation;
    world.own_epoch = own_epoch;
    world.own_failure_domain = 0;
    world.entry_hosts = {make_host("own", 0, own_incarnation),
                         make_host("sibling", 1, peer_incarnation),
                         make_host("far", 2, far_incarnation)};
    for (view::index service = 0; service < world.configuration->services.size(); ++service)
    {
        for (auto const* const number : {"-1", "-2"})
        {
            view::backend_server server;
            server.name = world.configuration->services[service].name + number;
            server.service = service;
            server.slot_share = 2;
            world.backend_servers.push_back(server);
        }
    }
    return world;
}

void fixture::handle(events::forward_event event)
{
    actions = forward::handle(state, std::move(event), world, now, random++);
}

void fixture::advance_time(kernel::duration elapsed)
{
    now += elapsed;
    actions = forward::tick(state, world, now, random++);
}

std::uint64_t fixture::request(std::string_view service,
                               std::string_view unique,
                               std::string_view body,
                               kernel::duration deadline)
{
    auto const exchange = next_exchange++;
    handle(events::caller_request{
        exchange, own_id(unique), 0, std::string(service), now + deadline, std::string(body)});
    return exchange;
}

void fixture::remove_servers(std::string_view service)
{
    auto const position = view::find_service(world, service);
    for (auto& server : world.backend_servers)
    {
        if (server.service == position)
            server.state = view::member_state::leaving;
    }
}

void fixture::offer_credits(std::string_view host, std::string_view service, std::uint32_t slots)
{
    auto& target = world.entry_hosts.at(view::find_entry_host(world, host));
    target.credits.push_back({view::find_service(world, service), slots, now + 1h});
}

identity::request_id own_id(std::string_view unique)
{
    return {"own", own_incarnation, own_epoch, std::string(unique)};
}

bool replied(fixture const& subject, outcome result, reason cause)
{
    auto const reply = subject.only<events::front_reply>();
    return reply.has_value() && reply->result == result && reply->cause == cause;
}

bool settled(fixture const& subject, outcome result, bool was_unresolved)
{
    auto const command = subject.only<events::settle_request>();
    return command.has_value() && command->result == result &&
           command->was_unresolved == was_unresolved;
}

} // namespace pistachiohub::forward_test
