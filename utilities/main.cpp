#include "kernel/error.hpp"
#include "utilities/subcommand.hpp"

#include <exception>
#include <iostream>
#include <span>
#include <string>
#include <vector>

namespace
{

using pistachiohub::utilities::exit_code;

void print_usage(std::ostream& output)
{
    output << "usage: pistachiohub <subcommand> [options]\n\nsubcommands:\n";
    for (auto const& known : pistachiohub::utilities::subcommands())
        output << "  " << known.name << std::string(14 - known.name.size(), ' ') << known.summary
               << '\n';
    output << "\n'pistachiohub <subcommand> --help' explains one.\n";
}

int run_subcommand(std::span<std::string const> arguments)
{
    if (arguments.empty() || arguments.front() == "--help")
    {
        print_usage(arguments.empty() ? std::cerr : std::cout);
        return static_cast<int>(arguments.empty() ? exit_code::usage : exit_code::success);
    }
    for (auto const& known : pistachiohub::utilities::subcommands())
    {
        if (known.name == arguments.front())
            return static_cast<int>(known.run(arguments.subspan(1)));
    }
    std::cerr << "pistachiohub: unknown subcommand '" << arguments.front() << "'\n";
    print_usage(std::cerr);
    return static_cast<int>(exit_code::usage);
}

} // namespace

int main(int argument_count, char** argument_values)
{
    std::vector<std::string> const arguments(argument_values + 1, argument_values + argument_count);
    try
    {
        return run_subcommand(arguments);
    }
    catch (pistachiohub::utilities::usage_error const& refused)
    {
        std::cerr << "pistachiohub: " << refused.what() << '\n';
        return static_cast<int>(exit_code::usage);
    }
    catch (std::exception const& failure)
    {
        std::cerr << "pistachiohub: " << failure.what() << '\n';
        return static_cast<int>(exit_code::failure);
    }
}
