#include "kernel/log.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>

namespace pistachiohub::kernel
{

namespace
{

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
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
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

} // namespace pistachiohub::kernel
