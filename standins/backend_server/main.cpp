#include "standins/backend_server/backend_server.hpp"

#include <boost/program_options.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <iostream>

namespace
{

namespace options = boost::program_options;
using namespace pistachiohub;

constexpr int crash_exit_code = 70;

class log_error : public kernel::error
{
public:
    using error::error;
};

/// A log file that keeps each line as soon as it is written, also when the process ends at once.
class log_file
{
public:
    explicit log_file(std::string const& path)
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
        : m_descriptor(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
    {
        if (m_descriptor < 0)
            throw log_error("cannot write the log file " + path);
    }

    log_file(log_file const&) = delete;
    log_file& operator=(log_file const&) = delete;

    ~log_file()
    {
        ::close(m_descriptor);
    }

    void append(std::string_view line) const
    {
        if (::write(m_descriptor, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
            throw log_error("cannot append to the log file");
    }

private:
    int m_descriptor;
};

standins::service_time_shape parse_shape(std::string const& name)
{
    if (name == "fixed")
        return standins::service_time_shape::fixed;
    if (name == "uniform")
        return standins::service_time_shape::uniform;
    if (name == "exponential")
        return standins::service_time_shape::exponential;
    throw options::validation_error(options::validation_error::invalid_option_value,
                                    "distribution");
}

void serve(options::variables_map const& values)
{
    standins::backend_options own;
    own.name = values["name"].as<std::string>();
    own.service = values["service"].as<std::string>();
    own.slots = values["slots"].as<std::uint32_t>();
    own.mean_service_time_ms = values["service-time-ms"].as<double>();
    own.shape = parse_shape(values["distribution"].as<std::string>());
    own.cold_start_ms = values["cold-start-ms"].as<std::uint32_t>();
    own.answer_padding = values["answer-padding"].as<std::size_t>();
    own.crash_marker = values["crash-marker"].as<std::string>();
    own.seed = values["seed"].as<std::uint64_t>();
    log_file const log(values["log"].as<std::string>());
    kernel::event_loop loop;
    standins::backend_effects const effects{
        [&loop](kernel::duration delay, std::function<void()> task)
        {
            loop.after(delay, std::move(task));
        },
        [&log](std::string_view line)
        {
            log.append(line);
        },
        []()
        {
            ::_exit(crash_exit_code);
        }};
    standins::backend_server server(own, effects, kernel::monotonic_now());
    standins::http_server const listener(
        loop,
        values["port"].as<std::uint16_t>(),
        values["connections"].as<std::size_t>(),
        [&server](standins::http_request const& request, standins::http_responder const& respond)
        {
            server.handle(request, kernel::monotonic_now(), respond);
        });
    std::cout << "listening on 127.0.0.1:" << listener.port() << std::endl;
    loop.run();
}

options::options_description describe_options()
{
    options::options_description description(
        "usage: standin_backend_server [options]\n\nRuns requests on 127.0.0.1; POST /control "
        "changes state (live or leaving), report_load, shed and service_time_ms");
    auto add = description.add_options();
    add("help", "show this text");
    add("port", options::value<std::uint16_t>()->default_value(0), "0 lets the system choose");
    add("name", options::value<std::string>()->default_value("backend"), "name in the log");
    add("service", options::value<std::string>()->default_value("service"), "name in the log");
    add("slots", options::value<std::uint32_t>()->default_value(3), "requests at the same time");
    add("connections", options::value<std::size_t>()->default_value(360), "connection limit");
    add("log", options::value<std::string>()->default_value("/dev/null"), "file of requests run");
    add("service-time-ms", options::value<double>()->default_value(5), "mean service time");
    add("distribution",
        options::value<std::string>()->default_value("uniform"),
        "fixed, uniform or exponential");
    add("cold-start-ms",
        options::value<std::uint32_t>()->default_value(0),
        "time after the start in which service times are doubled");
    add("answer-padding",
        options::value<std::size_t>()->default_value(64),
        "bytes added to each answer");
    add("crash-marker",
        options::value<std::string>()->default_value(""),
        "a request whose body contains this text ends the process");
    add("seed", options::value<std::uint64_t>()->default_value(1), "seed of service times");
    return description;
}

} // namespace

int main(int argument_count, char** arguments)
{
    try
    {
        auto const description = describe_options();
        options::variables_map values;
        options::store(options::parse_command_line(argument_count, arguments, description), values);
        options::notify(values);
        if (values.count("help") != 0)
            std::cout << description;
        else
            serve(values);
        return 0;
    }
    catch (std::exception const& failure)
    {
        std::cerr << "standin_backend_server: " << failure.what() << '\n';
        return 1;
    }
}
