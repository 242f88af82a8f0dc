#pragma once

/// @file
/// Command lines and connections that the operator tools share.

#include "kernel/settings.hpp"
#include "libraries/http/client.hpp"
#include "utilities/subcommand.hpp"

#include <boost/json/value.hpp>
#include <boost/program_options.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pistachiohub::utilities
{

/// A command line with `--help` and `--output`.
class command_line
{
public:
    /// @param synopsis the line after `usage: pistachiohub`.
    command_line(std::string_view synopsis, std::string_view description);

    /// Adds an option.
    /// @param has_value false for a switch.
    command_line& option(char const* name, char const* help, bool has_value = true);

    /// Adds the options that name a daemon's admin port and its key.
    command_line& admin_options();

    /// Adds one argument without an option's name.
    command_line& argument(char const* name);

    /// Parses and, for `--help`, prints the help.
    /// @returns false when the help was printed.
    /// @throws usage_error when the command line is not valid.
    [[nodiscard]] bool parse(std::span<std::string const> arguments);

    [[nodiscard]] bool has(char const* name) const;

    /// @returns the value of an option or argument.
    /// @throws usage_error when it is missing.
    [[nodiscard]] std::string text(char const* name) const;

    /// @returns the value as a number, or `fallback` when the option is missing.
    /// @throws usage_error when the value is not a number.
    [[nodiscard]] std::uint64_t number_or(char const* name, std::uint64_t fallback) const;

    /// @returns true for `--output json`.
    [[nodiscard]] bool is_json() const;

private:
    std::string m_synopsis;
    std::string m_description;
    boost::program_options::options_description m_visible{"options"};
    boost::program_options::options_description m_hidden;
    boost::program_options::positional_options_description m_positional;
    boost::program_options::variables_map m_values;
};

/// Requests to one daemon's admin port.
class admin_client
{
public:
    /// @throws usage_error when the command line names no daemon or no key.
    explicit admin_client(command_line const& parsed);

    [[nodiscard]] http::response get(std::string target);
    [[nodiscard]] http::response post(std::string target, std::string body);

private:
    std::unique_ptr<http::client> m_http;
    std::string m_authorization;
};

/// @returns the contents of a file. @throws usage_error when it cannot be read.
[[nodiscard]] std::string read_file(std::string const& path);

/// @returns address and port of `<IP address>:<port>`; an IPv6 address is in brackets.
/// @throws usage_error when `text` has another form.
[[nodiscard]] kernel::endpoint parse_endpoint(std::string const& text);

/// @returns `value` with two spaces of indent for each level.
[[nodiscard]] std::string indented(boost::json::value const& value);

/// Prints an answer of the daemon that is no success and says why on standard error.
/// @returns the exit code for its status.
[[nodiscard]] exit_code report_refusal(http::response const& answer);

/// Runs a tool; a daemon that cannot be reached gives `exit_code::unreachable`.
[[nodiscard]] exit_code run_tool(std::function<exit_code()> const& tool);

} // namespace pistachiohub::utilities
