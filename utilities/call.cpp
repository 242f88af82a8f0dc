#include "utilities/caller_options.hpp"
#include "utilities/subcommand.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace pistachiohub::utilities
{

namespace
{

namespace json = boost::json;
namespace options = boost::program_options;

constexpr std::uint32_t longest_deadline_ms = 60000;

std::string read_body(options::variables_map const& values)
{
    if (values.count("body-file") == 0)
        return values["body"].as<std::string>();
    auto const& path = values["body-file"].as<std::string>();
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw usage_error("cannot read the body file " + path);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::uint32_t read_deadline(options::variables_map const& values)
{
    auto const deadline_ms = values["deadline-ms"].as<std::uint32_t>();
    if (deadline_ms == 0 || deadline_ms > longest_deadline_ms)
        throw usage_error("--deadline-ms is " + std::to_string(deadline_ms) +
                          "; permitted: 1 to 60000");
    return deadline_ms;
}

caller::call_result make_call(caller::caller& own_caller, options::variables_map const& values)
{
    auto const service = values["service"].as<std::string>();
    auto const deadline = std::chrono::milliseconds(read_deadline(values));
    auto const body = read_body(values);
    if (values.count("request-id") == 0)
        return own_caller.call(service, body, deadline);
    auto const& text = values["request-id"].as<std::string>();
    auto const id = identity::parse_request_id(text);
    if (!id)
        throw usage_error("--request-id is '" + text +
                          "'; permitted: <owner>/<incarnation>/<epoch>/<unique>");
    return own_caller.resend(*id, service, body, deadline);
}

void print_json(caller::call_result const& result)
{
    json::array ids;
    for (auto const& used : result.ids)
        ids.push_back(json::object{{"id", identity::to_string(used.id)},
                                   {"outcome", to_string(used.told)},
                                   {"reason", to_string(used.cause)},
                                   {"never_sent", used.is_never_sent},
                                   {"transmissions", used.transmissions.size()}});
    std::cout << json::serialize(json::object{{"outcome", to_string(result.result)},
                                              {"reason", to_string(result.cause)},
                                              {"answer", result.answer},
                                              {"ids", ids}})
              << '\n';
}

void print_text(caller::call_result const& result)
{
    std::cout << to_string(result.result) << " (" << to_string(result.cause) << ")\n";
    for (auto const& used : result.ids)
        std::cout << "  " << identity::to_string(used.id) << "  " << to_string(used.told) << " ("
                  << to_string(used.cause) << "), " << used.transmissions.size()
                  << " transmissions\n";
    if (result.result == outcome::ran)
        std::cout << result.answer << '\n';
}

exit_code find_exit_code(caller::call_result const& result)
{
    if (result.result == outcome::ran)
        return exit_code::success;
    return result.result == outcome::not_run ? exit_code::refused : exit_code::unresolved;
}

options::options_description describe_options()
{
    options::options_description description(
        "usage: pistachiohub call --entry-host ADDRESS:PORT --service NAME [options]\n\n"
        "Sends a request and follows it to its outcome");
    add_caller_options(description);
    auto add = description.add_options();
    add("body", options::value<std::string>()->default_value(""), "body of the request");
    add("body-file", options::value<std::string>(), "file that holds the body");
    add("deadline-ms", options::value<std::uint32_t>()->default_value(5000), "1 to 60000");
    add("request-id", options::value<std::string>(), "re-sends the id of an earlier call");
    return description;
}

exit_code run_call(std::span<std::string const> arguments)
{
    auto const description = describe_options();
    auto const values = parse_arguments(arguments, description);
    if (values.count("help") != 0)
    {
        std::cout << description;
        return exit_code::success;
    }
    bool const is_json = is_json_wanted(values);
    caller::caller own_caller(read_caller_options(values));
    try
    {
        auto const result = make_call(own_caller, values);
        if (is_json)
            print_json(result);
        else
            print_text(result);
        return find_exit_code(result);
    }
    catch (caller::lookup_error const& failure)
    {
        std::cerr << "pistachiohub: " << failure.what() << '\n';
        return exit_code::unreachable;
    }
}

subcommand_registration const
    call_registration({"call", "send a request and follow it to its outcome", run_call});

} // namespace

} // namespace pistachiohub::utilities
