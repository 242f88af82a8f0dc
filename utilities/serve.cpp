#include "kernel/daemon.hpp"
#include "kernel/log.hpp"
#include "kernel/settings.hpp"
#include "utilities/subcommand.hpp"

#include <fstream>
#include <iostream>
#include <iterator>

namespace pistachiohub::utilities
{

namespace
{

kernel::settings read_settings(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        throw usage_error("cannot read the settings file " + path);
    std::string const text{std::istreambuf_iterator<char>(file), {}};
    try
    {
        return kernel::parse_settings(text);
    }
    catch (kernel::settings_error const& refused)
    {
        throw usage_error(path + ": " + refused.what());
    }
}

exit_code run_serve(std::span<std::string const> arguments)
{
    if (!arguments.empty() && arguments.front() == "--help")
    {
        std::cout << "usage: pistachiohub serve <settings.json>\n\n"
                     "Runs the daemon of one entry host until it is drained.\n";
        return exit_code::success;
    }
    if (arguments.size() != 1)
        throw usage_error("serve takes exactly one argument, the settings file");
    auto const own_settings = read_settings(arguments.front());
    kernel::start_log(own_settings.name, own_settings.lowest_log_level);
    kernel::daemon_context context(own_settings, kernel::new_incarnation());
    kernel::run_daemon(context);
    return exit_code::success;
}

subcommand_registration const
    serve_registration({"serve", "run the daemon of an entry host", run_serve});

} // namespace

} // namespace pistachiohub::utilities
