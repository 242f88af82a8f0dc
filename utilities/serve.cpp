#include "kernel/daemon.hpp"
#include "kernel/log.hpp"
#include "kernel/settings_file.hpp"
#include "utilities/subcommand.hpp"

#include <iostream>

namespace pistachiohub::utilities
{

namespace
{

kernel::settings parse_file(kernel::settings_file const& file)
{
    try
    {
        return kernel::parse_settings(file.text);
    }
    catch (kernel::settings_error const& refused)
    {
        throw usage_error(file.path + ": " + refused.what());
    }
}

kernel::settings_file read_file(std::string const& path)
{
    try
    {
        return kernel::read_settings_file(path);
    }
    catch (kernel::unreadable_settings const& refused)
    {
        throw usage_error(refused.what());
    }
}

exit_code run_serve(std::span<std::string const> arguments)
{
    if (!arguments.empty() && arguments.front() == "--help")
    {
        std::cout << "usage: pistachiohub serve <settings.json>\n\n"
                     "Runs the daemon of one entry host until it is drained.\n"
                     "SIGTERM drains it, SIGHUP reads the settings file again.\n";
        return exit_code::success;
    }
    if (arguments.size() != 1)
        throw usage_error("serve takes exactly one argument, the settings file");
    auto file = read_file(arguments.front());
    auto const own_settings = parse_file(file);
    kernel::start_log(own_settings.name, own_settings.lowest_log_level);
    kernel::daemon_context context(own_settings, kernel::new_incarnation());
    kernel::run_daemon(context, &file);
    return exit_code::success;
}

subcommand_registration const
    serve_registration({"serve", "run the daemon of an entry host", run_serve});

} // namespace

} // namespace pistachiohub::utilities
