#include "tests/support/duty_fixture.hpp"

namespace pistachiohub::support
{

namespace
{

configuration::service make_service(std::string const& name, configuration::service_kind kind)
{
    configuration::service made;
    made.name = name;
    made.kind = kind;
    made.connections = 100;
    return made;
}

} // namespace

kernel::settings make_settings(std::string const& name)
{
    kernel::settings made;
    made.name = name;
    made.failure_domain = "svealand-1";
    made.address = "127.0.0.1";
    made.peer_key = "0123456789abcdef";
    return made;
}

view::world_view make_world(std::string const& name, std::uint64_t incarnation)
{
    auto document = std::make_shared<configuration::configuration>();
    document->version = 7;
    document->failure_domains = {{"svealand-1", "svealand", 1}};
    document->services = {make_service("balance", configuration::service_kind::idempotent),
                          make_service("redeem", configuration::service_kind::at_most_once)};
    view::world_view world;
    world.configuration = document;
    world.own_name = name;
    world.own_incarnation = incarnation;
    world.own_epoch = 3;
    world.own_failure_domain = 0;
    view::entry_host own;
    own.name = name;
    own.address = "127.0.0.1";
    own.caller_port = 7001;
    own.failure_domain = 0;
    own.state = view::member_state::live;
    world.entry_hosts = {own};
    world.entry_host_order = {{0}, {0}};
    return world;
}

} // namespace pistachiohub::support
