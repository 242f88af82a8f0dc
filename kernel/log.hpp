#pragma once

/// @file
/// Structured logs over log4cxx: one line per event, with fields in place of prose.

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>

namespace pistachiohub::kernel
{

/// Severity of an event.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// A named value of an event.
struct log_field
{
    log_field(std::string_view field_key, std::string_view field_value)
        : key(field_key)
        , value(field_value)
    {
    }

    template<class Number>
    requires std::is_arithmetic_v<Number> log_field(std::string_view field_key, Number number)
        : key(field_key)
        , value(std::to_string(number))
    {
    }

    std::string_view key;
    std::string value;
};

/// Starts logging to standard error.
/// @param host the name of this process in each line.
/// @param lowest events below this level are dropped.
void start_log(std::string_view host, log_level lowest);

/// Writes one line `event=<event> <key>=<value> ...`; values with spaces are quoted.
/// @param area the module that speaks, used as the logger's name.
void log_event(log_level level,
               std::string_view area,
               std::string_view event,
               std::initializer_list<log_field> fields = {});

/// Writes the line of log_event() with fields that are known only at run time.
void log_fields(log_level level,
                std::string_view area,
                std::string_view event,
                std::span<log_field const> fields);

} // namespace pistachiohub::kernel
