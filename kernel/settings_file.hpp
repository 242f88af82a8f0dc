#pragma once

/// @file
/// Reads the settings file again when it changes.

#include "kernel/clock.hpp"
#include "kernel/daemon_context.hpp"
#include "kernel/error.hpp"

#include <chrono>
#include <string>

namespace pistachiohub::kernel
{

/// The settings file and its text that is in force.
struct settings_file
{
    std::string path;
    std::string text;
    /// When the file was last compared.
    monotonic_time checked_at;
};

/// The settings file cannot be read.
class unreadable_settings : public error
{
public:
    using error::error;
};

/// Reads a settings file.
/// @throws unreadable_settings when the file cannot be opened or read.
[[nodiscard]] settings_file read_settings_file(std::string const& path);

/// Publishes new settings as `snapshot<settings>` when the file's text has changed. Invalid
/// settings are logged, and the ones in force stay.
/// @param is_requested whether to read the file now, rather than once in `settings_check_interval`.
void reload_if_changed(settings_file& file, daemon_context& context, bool is_requested);

/// Interval at which the file is compared, for changes without a signal.
inline constexpr std::chrono::milliseconds settings_check_interval{1000};

} // namespace pistachiohub::kernel
