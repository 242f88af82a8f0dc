#include "kernel/log.hpp"

#include "kernel/bounded_output.hpp"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace pistachiohub::kernel
{

namespace
{

/// Hands formatted lines to a bounded output; log4cxx calls it under its own lock.
class bounded_appender : public log4cxx::AppenderSkeleton
{
public:
    bounded_appender() = default;

    void append(log4cxx::spi::LoggingEventPtr const& event, log4cxx::helpers::Pool& pool) override
    {
        log4cxx::LogString line;
        getLayout()->format(line, event, pool);
        m_output.write(line);
    }

    void close() override
    {
        m_output.flush();
    }

    [[nodiscard]] bool requiresLayout() const override
    {
        return true;
    }

private:
    bounded_output m_output{STDOUT_FILENO};
};

log4cxx::LevelPtr to_log4cxx(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        break;
    }
    return log4cxx::Level::getError();
}

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\n\r\t") != std::string_view::npos;
}

void append_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value))
    {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (char const character : value)
    {
        if (character == '"' || character == '\\')
            line.push_back('\\');
        line.push_back(static_cast<unsigned char>(character) < ' ' ? ' ' : character);
    }
    line.push_back('"');
}

} // namespace

void start_log(std::string_view host, log_level lowest)
{
    auto layout = std::make_shared<log4cxx::PatternLayout>(
        "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p host=" + std::string(host) + " area=%c %m%n");
    auto appender = std::make_shared<bounded_appender>();
    appender->setLayout(layout);
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(to_log4cxx(lowest));
}

void log_event(log_level level,
               std::string_view area,
               std::string_view event,
               std::initializer_list<log_field> fields)
{
    log_fields(level, area, event, std::span(fields.begin(), fields.size()));
}

void log_fields(log_level level,
                std::string_view area,
                std::string_view event,
                std::span<log_field const> fields)
{
    auto const logger = log4cxx::Logger::getLogger(std::string(area));
    auto const native_level = to_log4cxx(level);
    if (!logger->isEnabledFor(native_level))
        return;
    std::string line = "event=";
    append_value(line, event);
    for (auto const& field : fields)
    {
        line.push_back(' ');
        line.append(field.key);
        line.push_back('=');
        append_value(line, field.value);
    }
    logger->log(native_level, line, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

bool log_limiter::admit(monotonic_time now)
{
    std::chrono::duration<double> const passed = now - m_filled_at;
    m_tokens = std::min(m_lines_per_second, m_tokens + passed.count() * m_lines_per_second);
    m_filled_at = now;
    if (m_tokens < 1)
    {
        ++m_suppressed;
        return false;
    }
    m_tokens -= 1;
    return true;
}

std::uint64_t log_limiter::take_suppressed()
{
    return std::exchange(m_suppressed, 0);
}

} // namespace pistachiohub::kernel
