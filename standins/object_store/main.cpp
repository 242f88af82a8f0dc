#include "standins/object_store/store.hpp"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace
{

namespace options = boost::program_options;
using namespace pistachiohub;

constexpr std::size_t connection_limit = 4096;
constexpr auto watch_check_interval = std::chrono::milliseconds(10);

void serve(options::variables_map const& values)
{
    standins::store_control control;
    control.reads_per_second = values["reads-per-second"].as<double>();
    control.writes_per_second = values["writes-per-second"].as<double>();
    standins::object_store store(control, values["seed"].as<std::uint64_t>());
    if (values.count("objects") != 0)
    {
        std::ifstream file(values["objects"].as<std::string>());
        if (!file)
            throw standins::initial_objects_error("cannot read " +
                                                  values["objects"].as<std::string>());
        store.load(std::string{std::istreambuf_iterator<char>(file), {}});
    }
    kernel::event_loop loop;
    auto const handle =
        [&](standins::http_request const& request, standins::http_responder const& respond)
    {
        store.handle(request,
                     kernel::monotonic_now(),
                     [&loop, respond](standins::http_response response, std::uint32_t delay_ms)
                     {
                         if (delay_ms == 0)
                         {
                             respond(std::move(response));
                             return;
                         }
                         loop.after(std::chrono::milliseconds(delay_ms),
                                    [respond, response = std::move(response)]()
                                    {
                                        respond(response);
                                    });
                     });
    };
    standins::http_server const server(
        loop, values["port"].as<std::uint16_t>(), connection_limit, handle);
    loop.every(watch_check_interval,
               [&store]()
               {
                   store.end_watches(kernel::monotonic_now());
               });
    std::cout << "listening on 127.0.0.1:" << server.port() << std::endl;
    loop.run();
}

} // namespace

int main(int argument_count, char** arguments)
{
    options::options_description description(
        "usage: standin_object_store [options]\n\nServes the platform's object API on 127.0.0.1; "
        "GET and POST /control read and change faults and limits");
    auto add = description.add_options();
    add("help", "show this text");
    add("port", options::value<std::uint16_t>()->default_value(0), "0 lets the system choose");
    add("objects", options::value<std::string>(), "JSON file {kind: {name: value}}");
    add("reads-per-second", options::value<double>()->default_value(2000), "0: no limit");
    add("writes-per-second", options::value<double>()->default_value(300), "0: no limit");
    add("seed", options::value<std::uint64_t>()->default_value(1), "seed of lost answers");
    try
    {
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
        std::cerr << "standin_object_store: " << failure.what() << '\n';
        return 1;
    }
}
