#include "utilities/subcommand.hpp"

#include <iostream>

namespace pistachiohub::utilities
{

namespace
{

exit_code run_version(std::span<std::string const> arguments)
{
    if (!arguments.empty() && arguments.front() == "--help")
        std::cout << "usage: pistachiohub version\n\nPrints the version of this binary.\n";
    else if (!arguments.empty())
        throw usage_error("version takes no arguments");
    else
        std::cout << "pistachiohub " << PISTACHIOHUB_VERSION << '\n';
    return exit_code::success;
}

subcommand_registration const version_registration({"version", "print the version", run_version});

} // namespace

} // namespace pistachiohub::utilities
