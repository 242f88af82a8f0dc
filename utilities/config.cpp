#include "kernel/settings.hpp"
#include "libraries/configuration/document.hpp"
#include "libraries/interface/interface.hpp"
#include "utilities/tool_options.hpp"

#include <boost/json.hpp>

#include <array>
#include <iostream>
#include <random>
#include <thread>

namespace pistachiohub::utilities
{

namespace
{

namespace json = boost::json;

constexpr unsigned http_ok = 200;
constexpr unsigned http_stale = 409;
constexpr std::uint64_t default_interval_ms = 500;

void print_document(std::string const& text, bool is_json)
{
    std::cout << (is_json ? text : indented(json::parse(text))) << std::endl;
}

std::uint64_t version_of(std::string const& document, char const* key)
{
    return json::parse(document).as_object().at(key).to_number<std::uint64_t>();
}

std::string random_patch_id()
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int length = 16;
    std::random_device device;
    std::string id = "p-";
    for (int position = 0; position < length; ++position)
        id.push_back(digits[device() % digits.size()]);
    return id;
}

exit_code run_get(std::span<std::string const> arguments)
{
    command_line options("config get [options]", "Prints the configuration that the store holds.");
    if (!options.admin_options().parse(arguments))
        return exit_code::success;
    auto const answer = admin_client(options).get("/v1/config");
    if (answer.status != http_ok)
        return report_refusal(answer);
    print_document(answer.body, options.is_json());
    return exit_code::success;
}

json::value parse_patch(std::string const& path)
{
    boost::system::error_code failure;
    auto patch = json::parse(read_file(path), failure);
    if (failure || !patch.is_object())
        throw usage_error(path + " is not a JSON object");
    return patch;
}

/// Sends a patch; sends it again with the same id when the answer is lost.
exit_code
send_patch(admin_client& daemon, std::string const& body, std::string const& id, bool is_json)
{
    constexpr int most_attempts = 3;
    bool is_in_doubt = false;
    for (int attempt = 0; attempt < most_attempts; ++attempt)
    {
        try
        {
            auto const answer = daemon.post("/v1/config/patch", body);
            if (answer.status == http_ok && is_json)
                std::cout << json::serialize(json::object{
                                 {"version", version_of(answer.body, "version")}, {"patch_id", id}})
                          << '\n';
            else if (answer.status == http_ok)
                std::cout << "accepted as version " << version_of(answer.body, "version")
                          << ", patch id " << id << '\n';
            if (answer.status == http_ok)
                return exit_code::success;
            auto const code = report_refusal(answer);
            // After a lost answer, a later version may contain this patch.
            return is_in_doubt && answer.status == http_stale ? exit_code::unresolved : code;
        }
        catch (http::lost_answer const& failure)
        {
            is_in_doubt = true;
            std::cerr << "pistachiohub: " << failure.what() << '\n';
        }
    }
    std::cerr << "pistachiohub: patch " << id << " may have been accepted\n";
    return exit_code::unresolved;
}

exit_code run_patch(std::span<std::string const> arguments)
{
    command_line options(
        "config patch FILE [options]",
        "Applies a JSON merge patch (RFC 7396). A patch against a version that is no\n"
        "longer current is refused.");
    options.admin_options().argument("FILE");
    options.option("against", "version that the patch was made for; required");
    options.option("patch-id", "id of the patch; default: a random one");
    if (!options.parse(arguments))
        return exit_code::success;
    // A default of the current version would merge a patch into a version its author never saw.
    if (!options.has("against"))
        throw usage_error("--against is required: the version that the patch was made for");
    auto const against = options.number_or("against", 0);
    auto patch = parse_patch(options.text("FILE"));
    admin_client daemon(options);
    auto const id = options.has("patch-id") ? options.text("patch-id") : random_patch_id();
    json::object const body{
        {"against_version", against}, {"patch_id", id}, {"patch", std::move(patch)}};
    return send_patch(daemon, json::serialize(body), id, options.is_json());
}

exit_code run_watch(std::span<std::string const> arguments)
{
    command_line options(
        "config watch [options]",
        "Prints a line for each configuration version that comes into force on the\n"
        "daemon, until interrupted.");
    options.admin_options();
    options.option("count", "end after this many versions");
    options.option("interval-ms", "time between two looks at the daemon; default: 500");
    if (!options.parse(arguments))
        return exit_code::success;
    admin_client daemon(options);
    auto const count = options.number_or("count", std::numeric_limits<std::uint64_t>::max());
    std::chrono::milliseconds const interval(options.number_or("interval-ms", default_interval_ms));
    std::optional<std::uint64_t> last;
    for (std::uint64_t seen = 0; seen < count;)
    {
        auto const answer = daemon.get("/v1/status");
        if (answer.status != http_ok)
            return report_refusal(answer);
        auto const version = version_of(answer.body, "configuration_version");
        if (last != version)
        {
            last = version;
            ++seen;
            std::cout << (options.is_json() ? "{\"version\":" + std::to_string(version) + '}'
                                            : "version " + std::to_string(version))
                      << std::endl;
        }
        if (seen < count)
            std::this_thread::sleep_for(interval);
    }
    return exit_code::success;
}

/// Checks a configuration as the gateways of a deployment read it from the store.
void check_routes(std::string const& interface_name, std::string text)
{
    object_store::object const read{{}, 0, std::move(text)};
    auto const document = interface::find_interface(interface_name).decode_configuration(read);
    if (!document.unreadable.empty())
        throw interface::document_error(document.unreadable.front().path + ": " +
                                        document.unreadable.front().fault);
}

/// @returns what is wrong with the file, or an empty text.
std::string find_fault(command_line const& options)
{
    try
    {
        if (options.has("settings"))
            static_cast<void>(kernel::parse_settings(read_file(options.text("settings"))));
        else if (options.has("interface"))
            check_routes(options.text("interface"), read_file(options.text("FILE")));
        else
            static_cast<void>(configuration::parse_configuration(read_file(options.text("FILE"))));
    }
    catch (interface::document_error const& refused)
    {
        return refused.what();
    }
    catch (kernel::settings_error const& refused)
    {
        return refused.what();
    }
    catch (configuration::configuration_error const& refused)
    {
        return refused.what();
    }
    return "";
}

exit_code run_check(std::span<std::string const> arguments)
{
    command_line options("config check FILE | config check --settings FILE",
                         "Checks a configuration document or a settings file.");
    options.option("settings", "check this settings file").argument("FILE");
    options.option("interface", "the configuration is one of gateways with this interface");
    if (!options.parse(arguments))
        return exit_code::success;
    if (options.has("settings") == options.has("FILE"))
        throw usage_error("config check takes either one file or --settings with one file");
    auto const fault = find_fault(options);
    auto const path = options.text(options.has("settings") ? "settings" : "FILE");
    if (options.is_json())
        std::cout << json::serialize(json::object{
                         {"file", path}, {"is_valid", fault.empty()}, {"error", fault}})
                  << '\n';
    else if (fault.empty())
        std::cout << path << ": valid\n";
    else
        std::cerr << path << ": " << fault << '\n';
    return fault.empty() ? exit_code::success : exit_code::usage;
}

struct verb
{
    std::string_view name;
    std::string_view summary;
    exit_code (*run)(std::span<std::string const> arguments) = nullptr;
};

constexpr std::array<verb, 4> verbs{
    {{"get", "print the configuration", run_get},
     {"patch", "apply a JSON merge patch", run_patch},
     {"watch", "print versions as they come into force", run_watch},
     {"check", "check a configuration or settings file", run_check}}};

void print_usage(std::ostream& output)
{
    output << "usage: pistachiohub config <verb> [options]\n\nverbs:\n";
    for (auto const& known : verbs)
        output << "  " << known.name << std::string(8 - known.name.size(), ' ') << known.summary
               << '\n';
    output << "\n'pistachiohub config <verb> --help' explains one.\n";
}

exit_code run_config(std::span<std::string const> arguments)
{
    if (arguments.empty())
    {
        print_usage(std::cerr);
        return exit_code::usage;
    }
    if (arguments.front() == "--help")
    {
        print_usage(std::cout);
        return exit_code::success;
    }
    for (auto const& known : verbs)
    {
        if (known.name == arguments.front())
            return run_tool(
                [&]()
                {
                    return known.run(arguments.subspan(1));
                });
    }
    throw usage_error("config has no verb '" + arguments.front() +
                      "'; permitted: get, patch, watch or check");
}

subcommand_registration const
    config_registration({"config", "get, patch, watch or check a configuration", run_config});

} // namespace

} // namespace pistachiohub::utilities
