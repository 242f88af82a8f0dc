#include "utilities/caller_options.hpp"
#include "utilities/subcommand.hpp"

#include <boost/json.hpp>

#include <iostream>

namespace pistachiohub::utilities
{

namespace
{

namespace json = boost::json;

void print_json(caller::lookup_answer const& answer)
{
    json::array hosts;
    for (auto const& host : answer.entry_hosts)
        hosts.push_back(json::object{{"name", host.name},
                                     {"address", host.address},
                                     {"port", host.port},
                                     {"incarnation", host.incarnation},
                                     {"epoch", host.epoch},
                                     {"failure_domain", host.failure_domain}});
    std::cout << json::serialize(
                     json::object{{"service", answer.service},
                                  {"kind", answer.kind},
                                  {"configuration_version", answer.configuration_version},
                                  {"ttl_ms", answer.ttl_ms},
                                  {"entry_hosts", hosts}})
              << '\n';
}

void print_text(caller::lookup_answer const& answer)
{
    std::cout << answer.service << " (" << answer.kind << "), configuration version "
              << answer.configuration_version << ", valid for " << answer.ttl_ms << " ms\n";
    for (auto const& host : answer.entry_hosts)
        std::cout << "  " << host.name << "  " << host.address << ':' << host.port << "  "
                  << host.failure_domain << '\n';
}

exit_code run_lookup(std::span<std::string const> arguments)
{
    boost::program_options::options_description description(
        "usage: pistachiohub lookup --entry-host ADDRESS:PORT --service NAME [options]\n\n"
        "Shows the entry hosts for a service");
    add_caller_options(description);
    auto const values = parse_arguments(arguments, description);
    if (values.count("help") != 0)
    {
        std::cout << description;
        return exit_code::success;
    }
    bool const is_json = is_json_wanted(values);
    auto const own_options = read_caller_options(values);
    caller::caller own_caller(own_options);
    try
    {
        auto const& answer = own_caller.lookup(values["service"].as<std::string>());
        if (is_json)
            print_json(answer);
        else
            print_text(answer);
        return exit_code::success;
    }
    catch (caller::lookup_error const& failure)
    {
        std::cerr << "pistachiohub: " << failure.what() << '\n';
        return exit_code::unreachable;
    }
}

subcommand_registration const
    lookup_registration({"lookup", "show the entry hosts for a service", run_lookup});

} // namespace

} // namespace pistachiohub::utilities
