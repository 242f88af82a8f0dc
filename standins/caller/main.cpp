#include "standins/caller/history.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>
#include <random>
#include <thread>

namespace
{

namespace options = boost::program_options;
using namespace pistachiohub;

class caller_option_error : public kernel::error
{
public:
    using error::error;
};

struct weighted_service
{
    std::string name;
    double weight = 1;
};

struct load_options
{
    std::vector<caller::lookup_source> sources;
    std::vector<weighted_service> services;
    std::vector<std::string> clients;
    unsigned threads = 1;
    double calls_per_second = 1;
    std::chrono::milliseconds duration{};
    std::chrono::milliseconds deadline{};
    std::size_t body_bytes = 0;
    std::string body_start;
    std::uint64_t most_calls = 0;
    std::uint64_t seed = 1;
    std::string prefix;
};

caller::lookup_source parse_source(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
        throw caller_option_error("--daemon is '" + text + "'; permitted: ADDRESS:PORT");
    auto const port = std::strtoul(text.c_str() + colon + 1, nullptr, 10);
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

weighted_service parse_service(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
        return {text, 1};
    return {text.substr(0, colon), std::strtod(text.c_str() + colon + 1, nullptr)};
}

/// The calls of one thread.
class load_thread
{
public:
    load_thread(load_options const& load, unsigned number, standins::history& history)
        : m_load(load)
        , m_number(number)
        , m_history(history)
        , m_random(load.seed * 1000 + number)
        , m_caller(make_options())
    {
    }

    void run()
    {
        auto const interval = std::chrono::duration_cast<kernel::duration>(
            std::chrono::duration<double>(m_load.threads / m_load.calls_per_second));
        auto next = kernel::monotonic_now() + interval * m_number / m_load.threads;
        auto const ends_at = kernel::monotonic_now() + m_load.duration;
        while (next < ends_at && (m_load.most_calls == 0 || m_call_count < m_load.most_calls))
        {
            std::this_thread::sleep_until(next);
            make_call();
            next += interval;
        }
    }

private:
    caller::caller_options make_options()
    {
        caller::caller_options result;
        result.sources = m_load.sources;
        auto const first = static_cast<std::ptrdiff_t>(m_number % result.sources.size());
        std::rotate(result.sources.begin(), result.sources.begin() + first, result.sources.end());
        if (!m_load.clients.empty())
            result.client = m_load.clients[m_number % m_load.clients.size()];
        result.seed = m_random();
        return result;
    }

    weighted_service const& draw_service()
    {
        std::vector<double> weights;
        for (auto const& service : m_load.services)
            weights.push_back(service.weight);
        std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
        return m_load.services[draw(m_random)];
    }

    void make_call()
    {
        standins::finished_call call;
        call.name = m_load.prefix + std::to_string(m_number) + '-' + std::to_string(++m_call_count);
        call.service = draw_service().name;
        call.body = m_load.body_start + call.name + ' ' + std::string(m_load.body_bytes, 'x');
        call.started_ms = kernel::wall_clock_ms();
        auto const started = kernel::monotonic_now();
        try
        {
            call.kind = m_caller.lookup(call.service).kind;
            call.result = m_caller.call(call.service, call.body, m_load.deadline);
        }
        catch (caller::lookup_error const&)
        {
            call.result = {};
        }
        call.latency = kernel::monotonic_now() - started;
        call.ended_ms = kernel::wall_clock_ms();
        m_history.add(call);
    }

    load_options const& m_load;
    unsigned m_number;
    standins::history& m_history;
    std::mt19937_64 m_random;
    caller::caller m_caller;
    std::uint64_t m_call_count = 0;
};

load_options read_load(options::variables_map const& values)
{
    load_options load;
    for (auto const& text : values["daemon"].as<std::vector<std::string>>())
        load.sources.push_back(parse_source(text));
    for (auto const& text : values["service"].as<std::vector<std::string>>())
        load.services.push_back(parse_service(text));
    if (values.count("client") != 0)
        load.clients = values["client"].as<std::vector<std::string>>();
    load.threads = std::max(1U, values["threads"].as<unsigned>());
    load.calls_per_second = values["rate"].as<double>();
    load.duration = std::chrono::milliseconds(values["duration-ms"].as<std::uint32_t>());
    load.deadline = std::chrono::milliseconds(values["deadline-ms"].as<std::uint32_t>());
    load.body_bytes = values["body-bytes"].as<std::size_t>();
    load.body_start = values["body-start"].as<std::string>();
    load.most_calls = values["calls"].as<std::uint64_t>();
    load.seed = values["seed"].as<std::uint64_t>();
    load.prefix = values["prefix"].as<std::string>();
    if (load.calls_per_second <= 0)
        throw caller_option_error("--rate must be positive");
    return load;
}

void run_load(options::variables_map const& values)
{
    auto const load = read_load(values);
    standins::history history(values["history"].as<std::string>());
    std::vector<std::thread> threads;
    for (unsigned number = 0; number < load.threads; ++number)
    {
        threads.emplace_back(
            [&load, number, &history]()
            {
                load_thread(load, number, history).run();
            });
    }
    for (auto& thread : threads)
        thread.join();
    std::cout << history.summary() << std::endl;
}

options::options_description describe_options()
{
    options::options_description description(
        "usage: standin_caller --daemon ADDRESS:PORT --service NAME[:WEIGHT] [options]\n\n"
        "Runs many well-behaved callers, writes a history and prints a summary as JSON");
    auto add = description.add_options();
    add("help", "show this text");
    add("daemon", options::value<std::vector<std::string>>(), "entry host; may be repeated");
    add("service", options::value<std::vector<std::string>>(), "service; may be repeated");
    add("client", options::value<std::vector<std::string>>(), "IPv4 address; may be repeated");
    add("threads", options::value<unsigned>()->default_value(8), "callers at the same time");
    add("rate", options::value<double>()->default_value(100), "calls a second of all threads");
    add("duration-ms", options::value<std::uint32_t>()->default_value(5000), "length of the run");
    add("deadline-ms", options::value<std::uint32_t>()->default_value(3000), "of each call");
    add("body-bytes", options::value<std::size_t>()->default_value(200), "size of each body");
    add("body-start", options::value<std::string>()->default_value(""), "start of each body");
    add("calls",
        options::value<std::uint64_t>()->default_value(0),
        "calls of each thread; 0: bounded by the duration only");
    add("history", options::value<std::string>()->default_value("/dev/null"), "history file");
    add("prefix", options::value<std::string>()->default_value("c"), "start of the calls' names");
    add("seed",
        options::value<std::uint64_t>()->default_value(1),
        "seed of services and ids; two runs against the same daemons need two seeds");
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
        {
            std::cout << description;
            return 0;
        }
        if (values.count("daemon") == 0 || values.count("service") == 0)
            throw caller_option_error("--daemon and --service are required");
        run_load(values);
        return 0;
    }
    catch (std::exception const& failure)
    {
        std::cerr << "standin_caller: " << failure.what() << '\n';
        return 1;
    }
}
