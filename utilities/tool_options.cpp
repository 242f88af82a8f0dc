#include "utilities/tool_options.hpp"

#include "kernel/settings.hpp"

#include <boost/json.hpp>

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

namespace pistachiohub::utilities
{

namespace
{

namespace json = boost::json;
namespace po = boost::program_options;

constexpr auto key_variable = "PISTACHIOHUB_ADMIN_KEY";

std::string read_key(command_line const& parsed)
{
    if (parsed.has("key-file"))
    {
        auto key = read_file(parsed.text("key-file"));
        key.erase(key.find_last_not_of(" \r\n\t") + 1);
        return key;
    }
    // A key on the command line would be visible to every user of the host.
    auto const* const key = std::getenv(key_variable);
    if (key == nullptr)
        throw usage_error(
            "no key: give --settings, --key-file or the variable PISTACHIOHUB_ADMIN_KEY");
    return key;
}

kernel::settings read_settings(std::string const& path)
{
    try
    {
        return kernel::parse_settings(read_file(path));
    }
    catch (kernel::settings_error const& refused)
    {
        throw usage_error(path + ": " + refused.what());
    }
}

void append_indented(std::string& text, json::value const& value, std::string const& indent)
{
    auto const inner = indent + "  ";
    std::string_view separator;
    if (value.is_object() && !value.get_object().empty())
    {
        text.append("{\n");
        for (auto const& member : value.get_object())
        {
            text.append(separator).append(inner).append(json::serialize(member.key())).append(": ");
            append_indented(text, member.value(), inner);
            separator = ",\n";
        }
        text.append("\n").append(indent).append("}");
        return;
    }
    if (value.is_array() && !value.get_array().empty())
    {
        text.append("[\n");
        for (auto const& item : value.get_array())
        {
            text.append(separator).append(inner);
            append_indented(text, item, inner);
            separator = ",\n";
        }
        text.append("\n").append(indent).append("]");
        return;
    }
    text.append(json::serialize(value));
}

} // namespace

command_line::command_line(std::string_view synopsis, std::string_view description)
    : m_synopsis(synopsis)
    , m_description(description)
{
    option("help", "print this help", false);
    option("output", "text (default) or json");
}

command_line& command_line::option(char const* name, char const* help, bool has_value)
{
    if (has_value)
        m_visible.add_options()(name, po::value<std::string>(), help);
    else
        m_visible.add_options()(name, help);
    return *this;
}

command_line& command_line::admin_options()
{
    option("settings", "settings file of the daemon, for its admin port and key");
    option("admin", "admin port of the daemon, as address:port");
    option("key-file", "file with the admin key; default: variable PISTACHIOHUB_ADMIN_KEY");
    return *this;
}

command_line& command_line::argument(char const* name)
{
    m_hidden.add_options()(name, po::value<std::string>());
    m_positional.add(name, 1);
    return *this;
}

bool command_line::parse(std::span<std::string const> arguments)
{
    po::options_description all;
    all.add(m_visible).add(m_hidden);
    try
    {
        std::vector<std::string> const copied(arguments.begin(), arguments.end());
        po::store(po::command_line_parser(copied).options(all).positional(m_positional).run(),
                  m_values);
    }
    catch (po::error const& refused)
    {
        throw usage_error(refused.what());
    }
    if (has("help"))
    {
        std::cout << "usage: pistachiohub " << m_synopsis << "\n\n"
                  << m_description << "\n\n"
                  << m_visible;
        return false;
    }
    if (has("output") && text("output") != "text" && text("output") != "json")
        throw usage_error("--output is " + text("output") + "; permitted: text or json");
    return true;
}

bool command_line::has(char const* name) const
{
    return m_values.count(name) > 0;
}

std::string command_line::text(char const* name) const
{
    if (!has(name))
        throw usage_error("missing argument: " + std::string(name) + "; see --help");
    return m_values[name].as<std::string>();
}

std::uint64_t command_line::number_or(char const* name, std::uint64_t fallback) const
{
    if (!has(name))
        return fallback;
    auto const value = text(name);
    std::uint64_t number = 0;
    auto const* const end = value.data() + value.size();
    auto const [position, failure] = std::from_chars(value.data(), end, number);
    if (failure != std::errc{} || position != end)
        throw usage_error("--" + std::string(name) + " is " + value +
                          "; permitted: an integer from 0");
    return number;
}

bool command_line::is_json() const
{
    return has("output") && text("output") == "json";
}

admin_client::admin_client(command_line const& parsed)
{
    kernel::endpoint daemon;
    std::string key;
    if (parsed.has("settings"))
    {
        auto const known = read_settings(parsed.text("settings"));
        daemon = {known.address, known.admin_port};
        key = known.admin_key;
    }
    else
    {
        if (!parsed.has("admin"))
            throw usage_error("no daemon: give --settings or --admin");
        key = read_key(parsed);
    }
    if (parsed.has("admin"))
        daemon = parse_endpoint(parsed.text("admin"));
    m_authorization = "Bearer " + key;
    // Longer than the daemon's own attempts to reach the store.
    http::client_limits const limits{std::chrono::seconds(2), std::chrono::seconds(60)};
    m_http = std::make_unique<http::client>(daemon.address, daemon.port, limits);
}

http::response admin_client::get(std::string target)
{
    return m_http->send({"GET", std::move(target), {{"Authorization", m_authorization}}, {}});
}

http::response admin_client::post(std::string target, std::string body)
{
    return m_http->send(
        {"POST", std::move(target), {{"Authorization", m_authorization}}, std::move(body)});
}

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        throw usage_error("cannot read the file " + path);
    return {std::istreambuf_iterator<char>(file), {}};
}

kernel::endpoint parse_endpoint(std::string const& text)
{
    auto const colon = text.rfind(':');
    auto const* const end = text.data() + text.size();
    kernel::endpoint result;
    if (colon != std::string::npos)
    {
        auto const [position, failure] = std::from_chars(text.data() + colon + 1, end, result.port);
        if (failure == std::errc{} && position == end && result.port > 0)
        {
            result.address = text.substr(0, colon);
            if (result.address.starts_with('[') && result.address.ends_with(']'))
                result.address = result.address.substr(1, result.address.size() - 2);
            return result;
        }
    }
    throw usage_error("'" + text + "' is not of the form address:port");
}

std::string indented(json::value const& value)
{
    std::string text;
    append_indented(text, value, "");
    return text;
}

exit_code report_refusal(http::response const& answer)
{
    std::cerr << "pistachiohub: the daemon answered " << answer.status << ' ' << answer.body
              << '\n';
    switch (answer.status)
    {
    case 503:
        return exit_code::unreachable;
    case 504:
        return exit_code::unresolved;
    case 409:
    case 422:
        return exit_code::refused;
    default:
        return exit_code::failure;
    }
}

exit_code run_tool(std::function<exit_code()> const& tool)
{
    try
    {
        return tool();
    }
    catch (http::http_error const& failure)
    {
        std::cerr << "pistachiohub: " << failure.what() << '\n';
        return exit_code::unreachable;
    }
}

} // namespace pistachiohub::utilities
