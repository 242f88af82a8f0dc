#include "utilities/tool_options.hpp"

#include <boost/json.hpp>

#include <iostream>

namespace pistachiohub::utilities
{

namespace
{

namespace json = boost::json;

constexpr unsigned http_ok = 200;

std::string shown(json::value const& value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

/// Prints one line for each object of `rows`, with all members as `key=value`.
void print_rows(std::string_view title, json::value const& rows)
{
    std::cout << title << ": " << rows.as_array().size() << '\n';
    for (auto const& row : rows.as_array())
    {
        std::cout << ' ';
        for (auto const& member : row.as_object())
            std::cout << ' ' << std::string_view(member.key()) << '=' << shown(member.value());
        std::cout << '\n';
    }
}

void print_status(json::object const& status)
{
    for (auto const* const key : {"name",
                                  "incarnation",
                                  "failure_domain",
                                  "configuration_version",
                                  "is_draining",
                                  "is_ready"})
    {
        if (!status.contains(key))
            continue;
        std::cout << key << ": " << shown(status.at(key)) << '\n';
    }
    print_rows("members", status.at("members"));
    print_rows("backend_servers", status.at("backend_servers"));
    std::cout << "counters: " << status.at("counters").as_object().size() << '\n';
    for (auto const& counter : status.at("counters").as_object())
        std::cout << "  " << std::string_view(counter.key()) << ' ' << shown(counter.value())
                  << '\n';
}

http::response ask_gateway(kernel::endpoint const& metrics)
{
    http::client_limits const limits{std::chrono::seconds(2), std::chrono::seconds(10)};
    return http::client(metrics.address, metrics.port, limits).send({"GET", "/v1/status", {}, {}});
}

exit_code show_status(command_line const& options)
{
    auto const answer = options.has("gateway")
                            ? ask_gateway(parse_endpoint(options.text("gateway")))
                            : admin_client(options).get("/v1/status");
    if (answer.status != http_ok)
        return report_refusal(answer);
    if (options.is_json())
        std::cout << answer.body << '\n';
    else
        print_status(json::parse(answer.body).as_object());
    return exit_code::success;
}

exit_code run_status(std::span<std::string const> arguments)
{
    command_line options("status [options]",
                         "Prints a daemon's configuration version, members, backend servers and\n"
                         "counters.");
    options.admin_options();
    options.option("gateway", "metrics address of a gateway, as address:port; needs no key");
    if (!options.parse(arguments))
        return exit_code::success;
    return run_tool(
        [&options]()
        {
            return show_status(options);
        });
}

subcommand_registration const
    status_registration({"status", "print a daemon's status", run_status});

} // namespace

} // namespace pistachiohub::utilities
