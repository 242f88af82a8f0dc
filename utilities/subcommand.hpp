#pragma once

/// @file
/// Subcommands of the binary. A subcommand registers itself by a static `subcommand_registration`.

#include "kernel/error.hpp"

#include <span>
#include <string>
#include <string_view>

namespace pistachiohub::utilities
{

/// Exit codes of every subcommand, documented on the operator page.
enum class exit_code
{
    success = 0,
    /// The operation failed; standard error says why.
    failure = 1,
    /// The command line or a file named on it is not valid.
    usage = 2,
    /// The request was not run, or the patch was refused.
    refused = 3,
    /// The request may have run.
    unresolved = 4,
    /// The daemon or the store cannot be reached.
    unreachable = 5
};

/// The command line is not valid.
class usage_error : public kernel::error
{
public:
    using error::error;
};

/// One subcommand.
struct subcommand
{
    std::string_view name;
    std::string_view summary;
    exit_code (*run)(std::span<std::string const> arguments) = nullptr;
};

/// Registers a subcommand during static initialisation.
struct subcommand_registration
{
    explicit subcommand_registration(subcommand const& registered);
};

/// @returns the registered subcommands, sorted by name.
[[nodiscard]] std::span<subcommand const> subcommands();

} // namespace pistachiohub::utilities
