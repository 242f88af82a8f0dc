/// @file
/// Measures one daemon: lookups a second and their processor cost, or the latency that forwarding
/// adds to a direct call of the same backend server.

#include "kernel/error.hpp"
#include "standins/load/http_session.hpp"
#include "standins/load/latency_sample.hpp"
#include "standins/load/process_usage.hpp"

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace
{

namespace options = boost::program_options;
using namespace pistachiohub::standins::load;
using steady_clock = std::chrono::steady_clock;

struct parameters
{
    std::string mode;
    std::string daemon;
    std::string backend_server;
    std::string service;
    int connections = 0;
    int seconds = 0;
    int daemon_pid = 0;
};

constexpr std::string_view deadline_ms = "5000";

std::vector<double> run_lookups(parameters const& chosen, steady_clock::time_point end)
{
    http_session session(chosen.daemon);
    std::vector<double> microseconds;
    // A new client address each time, so that the answer is not the same cache line again and
    // again.
    std::uint32_t client = 0;
    while (steady_clock::now() < end)
    {
        auto const target = "/v1/lookup?service=" + chosen.service + "&client=10." +
                            std::to_string(client % 250) + ".1." +
                            std::to_string(client / 250 % 250);
        ++client;
        auto const started = steady_clock::now();
        auto const answer = session.get(target);
        if (answer.status != 200)
            throw pistachiohub::kernel::error("the lookup was answered with status " +
                                              std::to_string(answer.status));
        microseconds.push_back(
            std::chrono::duration<double, std::micro>(steady_clock::now() - started).count());
    }
    return microseconds;
}

int measure_lookups(parameters const& chosen)
{
    auto const usage_before = processor_seconds(chosen.daemon_pid);
    auto const started = steady_clock::now();
    auto const end = started + std::chrono::seconds(chosen.seconds);
    std::vector<std::vector<double>> results(static_cast<std::size_t>(chosen.connections));
    std::vector<std::thread> threads;
    for (auto& result : results)
    {
        threads.emplace_back(
            [&chosen, end, &result]()
            {
                result = run_lookups(chosen, end);
            });
    }
    for (auto& thread : threads)
        thread.join();
    auto const elapsed = std::chrono::duration<double>(steady_clock::now() - started).count();
    auto const used = processor_seconds(chosen.daemon_pid) - usage_before;
    std::vector<double> all;
    for (auto const& result : results)
        all.insert(all.end(), result.begin(), result.end());
    auto const count = static_cast<double>(all.size());
    std::cout << "lookups_per_second=" << count / elapsed
              << " daemon_cpu_us_per_lookup=" << used * 1e6 / count
              << " daemon_cpu_cores=" << used / elapsed << ' ' << summarise(std::move(all)) << '\n';
    return 0;
}

// The owner part of the id is taken from a lookup, as any caller does. The name of the service
// keeps the ids of several runs apart.
std::string id_prefix(http_session& daemon, std::string const& endpoint, std::string const& service)
{
    auto const answer = daemon.get("/v1/lookup?service=" + service);
    auto const document = boost::json::parse(answer.body);
    auto const& hosts = document.at("entry_hosts").as_array();
    // Only the measured daemon may own the ids; any other would be told as not the owner.
    auto const owner =
        std::find_if(hosts.begin(),
                     hosts.end(),
                     [&endpoint](boost::json::value const& listed)
                     {
                         return std::string(listed.at("address").as_string()) + ':' +
                                    std::to_string(listed.at("port").to_number<std::uint16_t>()) ==
                                endpoint;
                     });
    if (owner == hosts.end())
        throw pistachiohub::kernel::error("the lookup does not list " + endpoint);
    auto const& host = *owner;
    return std::string(host.at("name").as_string()) + '/' +
           std::to_string(host.at("incarnation").to_number<std::uint64_t>()) + '/' +
           std::to_string(host.at("epoch").to_number<std::uint32_t>()) + "/load-" + service + '-';
}

double
time_call(http_session& session, std::string const& target, std::vector<header> const& headers)
{
    auto const started = steady_clock::now();
    auto const answer = session.post(target, headers, "measurement");
    auto const elapsed =
        std::chrono::duration<double, std::micro>(steady_clock::now() - started).count();
    if (answer.status != 200)
        throw pistachiohub::kernel::error("the request was answered with status " +
                                          std::to_string(answer.status));
    return elapsed;
}

// Direct and forwarded calls alternate, so that both see the same state of the machine.
int measure_forwarding(parameters const& chosen)
{
    http_session direct(chosen.backend_server);
    http_session forwarded(chosen.daemon);
    auto const prefix = id_prefix(forwarded, chosen.daemon, chosen.service);
    std::vector<double> direct_microseconds;
    std::vector<double> forwarded_microseconds;
    auto const end = steady_clock::now() + std::chrono::seconds(chosen.seconds);
    for (int number = 0; steady_clock::now() < end; ++number)
    {
        auto const id = prefix + std::to_string(number);
        direct_microseconds.push_back(time_call(direct,
                                                "/run",
                                                {{"Request-Id", id + "-direct"},
                                                 {"Attempt", "1"},
                                                 {"Deadline-Ms", std::string(deadline_ms)}}));
        forwarded_microseconds.push_back(
            time_call(forwarded,
                      "/v1/requests/" + chosen.service,
                      {{"Pistachiohub-Request-Id", id},
                       {"Pistachiohub-Transmission", "1"},
                       {"Pistachiohub-Deadline-Ms", std::string(deadline_ms)}}));
    }
    std::cout << "direct " << summarise(std::move(direct_microseconds)) << '\n'
              << "forwarded " << summarise(std::move(forwarded_microseconds)) << '\n';
    return 0;
}

int run(int argument_count, char** argument_values)
{
    parameters chosen;
    options::options_description description("options");
    description.add_options()("help", "explain the options")(
        "mode", options::value(&chosen.mode)->required(), "lookups or forwarding")(
        "daemon", options::value(&chosen.daemon)->required(), "address:port of the caller port")(
        "backend-server", options::value(&chosen.backend_server), "address:port, for forwarding")(
        "service", options::value(&chosen.service)->required(), "name of the service")(
        "connections", options::value(&chosen.connections)->default_value(4), "for lookups")(
        "seconds", options::value(&chosen.seconds)->default_value(5), "length of the run")(
        "daemon-pid", options::value(&chosen.daemon_pid)->default_value(0), "for processor cost");
    options::variables_map values;
    options::store(options::parse_command_line(argument_count, argument_values, description),
                   values);
    if (values.contains("help"))
    {
        std::cout << description;
        return 0;
    }
    options::notify(values);
    return chosen.mode == "lookups" ? measure_lookups(chosen) : measure_forwarding(chosen);
}

} // namespace

int main(int argument_count, char** argument_values)
{
    try
    {
        return run(argument_count, argument_values);
    }
    catch (std::exception const& failure)
    {
        std::cerr << "standin_load: " << failure.what() << '\n';
        return 1;
    }
}
