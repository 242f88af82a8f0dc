#pragma once

/// @file
/// Structured logs over log4cxx: one line per event, with fields in place of prose.

#include "kernel/clock.hpp"

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

/// Starts logging to standard output. A slow reader of it loses lines, which are counted, and never
/// delays the daemon.
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

/// Bounds the lines of one event: a burst of one second's worth, then an even rate. Used by one
/// thread.
class log_limiter
{
public:
    /// @param lines_per_second largest rate in the long run.
    explicit log_limiter(double lines_per_second)
        : m_lines_per_second(lines_per_second)
        , m_tokens(lines_per_second)
    {
    }

    /// @returns whether the line may be written; otherwise it counts as suppressed.
    [[nodiscard]] bool admit(monotonic_time now);

    /// @returns the lines suppressed since the last call.
    [[nodiscard]] std::uint64_t take_suppressed();

private:
    double m_lines_per_second;
    double m_tokens;
    monotonic_time m_filled_at;
    std::uint64_t m_suppressed = 0;
};

} // namespace pistachiohub::kernel
