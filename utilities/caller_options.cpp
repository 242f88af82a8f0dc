#include "utilities/caller_options.hpp"

#include "utilities/subcommand.hpp"

#include <charconv>
#include <random>
#include <vector>

namespace pistachiohub::utilities
{

namespace
{

namespace options = boost::program_options;

caller::lookup_source parse_source(std::string const& text)
{
    auto const colon = text.rfind(':');
    std::uint16_t port = 0;
    auto const* const end = text.data() + text.size();
    bool const is_valid = colon != std::string::npos && colon > 0 &&
                          std::from_chars(text.data() + colon + 1, end, port).ptr == end &&
                          port != 0;
    if (!is_valid)
        throw usage_error("--entry-host is '" + text + "'; permitted: ADDRESS:PORT");
    return {text.substr(0, colon), port};
}

} // namespace

void add_caller_options(options::options_description& description)
{
    auto add = description.add_options();
    add("help", "show this text");
    add("entry-host",
        options::value<std::vector<std::string>>(),
        "ADDRESS:PORT of an entry host; may be repeated");
    add("service", options::value<std::string>(), "name of the service");
    add("client", options::value<std::string>()->default_value(""), "IPv4 address of the client");
    add("output", options::value<std::string>()->default_value("text"), "text or json");
}

options::variables_map parse_arguments(std::span<std::string const> arguments,
                                       options::options_description const& description)
{
    try
    {
        options::variables_map values;
        options::store(options::command_line_parser(
                           std::vector<std::string>(arguments.begin(), arguments.end()))
                           .options(description)
                           .positional({})
                           .run(),
                       values);
        options::notify(values);
        return values;
    }
    catch (options::error const& refused)
    {
        throw usage_error(refused.what());
    }
}

caller::caller_options read_caller_options(options::variables_map const& values)
{
    if (values.count("entry-host") == 0 || values.count("service") == 0)
        throw usage_error("--entry-host and --service are required");
    caller::caller_options result;
    for (auto const& text : values["entry-host"].as<std::vector<std::string>>())
        result.sources.push_back(parse_source(text));
    result.client = values["client"].as<std::string>();
    std::random_device device;
    result.seed = (std::uint64_t{device()} << 32U) | device();
    return result;
}

bool is_json_wanted(options::variables_map const& values)
{
    auto const& form = values["output"].as<std::string>();
    if (form != "text" && form != "json")
        throw usage_error("--output is '" + form + "'; permitted: text or json");
    return form == "json";
}

} // namespace pistachiohub::utilities
