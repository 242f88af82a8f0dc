#pragma once

/// @file
/// Command line options that `lookup` and `call` share.

#include "libraries/caller/caller.hpp"

#include <boost/program_options.hpp>

#include <span>
#include <string>

namespace pistachiohub::utilities
{

/// Adds `--help`, `--entry-host`, `--service`, `--client` and `--output`.
void add_caller_options(boost::program_options::options_description& description);

/// Parses arguments.
/// @throws usage_error when an argument is unknown or an option's value is not valid.
[[nodiscard]] boost::program_options::variables_map
parse_arguments(std::span<std::string const> arguments,
                boost::program_options::options_description const& description);

/// Reads the options that add_caller_options() added.
/// @throws usage_error when a required option is missing or an entry host is not `ADDRESS:PORT`.
[[nodiscard]] caller::caller_options
read_caller_options(boost::program_options::variables_map const& values);

/// @returns true for `--output json`.
/// @throws usage_error when the value is neither `text` nor `json`.
[[nodiscard]] bool is_json_wanted(boost::program_options::variables_map const& values);

} // namespace pistachiohub::utilities
