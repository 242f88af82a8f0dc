#include "kernel/settings_file.hpp"

#include "kernel/clock.hpp"
#include "kernel/log.hpp"
#include "kernel/snapshot.hpp"

#include <fstream>
#include <iterator>

namespace pistachiohub::kernel
{

settings_file read_settings_file(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        throw unreadable_settings("cannot read the settings file " + path);
    try
    {
        return {path, std::string{std::istreambuf_iterator<char>(file), {}}, monotonic_now()};
    }
    catch (std::ios_base::failure const& failure)
    {
        throw unreadable_settings("cannot read the settings file " + path + ": " + failure.what());
    }
}

void reload_if_changed(settings_file& file, daemon_context& context, bool is_requested)
{
    auto const now = monotonic_now();
    if (!is_requested && now - file.checked_at < settings_check_interval)
        return;
    file.checked_at = now;
    auto const cause = std::string_view(is_requested ? "signal" : "file_changed");
    try
    {
        auto read = read_settings_file(file.path);
        if (read.text == file.text)
        {
            if (is_requested)
                log_event(log_level::info, "kernel", "settings_unchanged", {{"cause", cause}});
            return;
        }
        file = std::move(read);
        auto changed = std::make_shared<settings const>(parse_settings(file.text));
        context.shared<snapshot<settings>>().publish(std::move(changed));
        log_event(log_level::info, "kernel", "settings_reloaded", {{"cause", cause}});
    }
    catch (error const& failure)
    {
        log_event(log_level::error,
                  "kernel",
                  "settings_refused",
                  {{"cause", cause}, {"error", std::string_view(failure.what())}});
    }
}

} // namespace pistachiohub::kernel
