#pragma once

/// @file
/// A fixture that runs the gateway duty between raw sockets that play a caller and a backend
/// server.

#include "kernel/plugin.hpp"
#include "libraries/events/gateway_event.hpp"
#include "libraries/events/store_command.hpp"
#include "tests/support/duty_fixture.hpp"
#include "tests/support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

namespace pistachiohub::gateway_test
{

using std::chrono::milliseconds;
using support::raw_connection;

// Ports below the ephemeral range, so that no outgoing connection uses them, and different ones in
// each process, so that tests can run in parallel.
inline std::uint16_t own_port(int number)
{
    constexpr int first_port = 20000;
    constexpr int ports_of_process = 4;
    constexpr int processes = 2500;
    return static_cast<std::uint16_t>(first_port + ::getpid() % processes * ports_of_process +
                                      number);
}

constexpr auto short_grace = milliseconds(1500);
constexpr double small_memory_mb = 1;

inline kernel::settings make_gateway_settings(milliseconds shutdown_grace, double memory_mb)
{
    kernel::settings own;
    own.name = "host-1";
    own.failure_domain = "sve-a";
    own.address = "127.0.0.1";
    own.gateway.emplace();
    auto& gateway = *own.gateway;
    gateway.interface_name = "platform";
    gateway.region = "svealand";
    gateway.region_of_domain = {{"sve-a", "svealand"}};
    int number = 0;
    for (auto* const own_endpoint :
         {&gateway.callers, &gateway.readiness, &gateway.directory, &gateway.metrics})
        *own_endpoint = {"127.0.0.1", own_port(number++)};
    gateway.bounds.extra_retries = 60;
    // A fifth of the memory is available for requests, and a quarter for answers.
    gateway.resources.memory_mb = memory_mb;
    gateway.bounds.shutdown_grace = shutdown_grace;
    return own;
}

inline std::unique_ptr<kernel::duty> create_gateway(kernel::daemon_context& context)
{
    for (auto const& registered : kernel::registered_plugins())
    {
        if (registered.name == "gateway")
            return registered.create(context);
    }
    return nullptr;
}

inline std::string
answer_to(std::string const& id, std::string const& body, std::string const& more = "")
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: sig-" + id +
           "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string get(std::string const& id, std::string const& more = "")
{
    return "GET /i/" + id + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: 3000\r\n" + more + "\r\n";
}

inline std::string post(std::string const& id, std::string const& body)
{
    return "POST /o/" + id + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: 3000\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// A gateway that receives store updates from the test and has one backend server, whose side of
/// the connection the test plays.
class gateway_fixture
{
protected:
    kernel::settings m_settings;
    kernel::daemon_context m_context{m_settings, 1};
    kernel::mailbox<events::gateway_event>& m_events =
        m_context.shared<kernel::mailbox<events::gateway_event>>();
    support::raw_listener m_server;
    std::unique_ptr<kernel::duty> m_gateway;
    std::unique_ptr<support::running_duty> m_running;

    explicit gateway_fixture(bool has_store = true,
                             milliseconds shutdown_grace = short_grace,
                             bool is_started = true,
                             double memory_mb = small_memory_mb)
        : m_settings(make_gateway_settings(shutdown_grace, memory_mb))
    {
        if (has_store)
            push_store();
        m_gateway = create_gateway(m_context);
        REQUIRE(m_gateway);
        if (is_started)
            start();
    }

    void start()
    {
        m_running = std::make_unique<support::running_duty>(*m_gateway);
    }

    /// Pushes the store contents that the gateway needs before it is ready.
    void push_store()
    {
        routing::routing_document document;
        document.version = 1;
        document.limits.header_bytes = 4096;
        document.limits.body_bytes = 100000;
        add_route(document, "/i/", routing::request_kind::idempotent);
        add_route(document, "/o/", routing::request_kind::at_most_once);
        push(events::store_update<routing::routing_document>{true, 1, {{"main", 1, document}}});
        push(events::store_update<fleet::entry_host>{true, 1, {}});
        add_server("i-1", m_server);
    }

    static void add_route(routing::routing_document& document,
                          std::string const& prefix,
                          routing::request_kind kind)
    {
        routing::route route;
        route.name = "route" + prefix;
        route.host = "a.example";
        route.path_prefix = prefix;
        route.kind = kind;
        route.timeout = milliseconds(2000);
        route.target_latency = milliseconds(1000);
        route.most_attempts = 2;
        route.split = {{"s", 1}};
        document.routes.push_back(route);
    }

    static fleet::backend_server make_server(std::string const& id,
                                             support::raw_listener const& listener)
    {
        fleet::backend_server server;
        server.id = id;
        server.service = "s";
        server.address = {"127.0.0.1", listener.port()};
        server.failure_domain = "sve-a";
        server.slots = 8;
        return server;
    }

    void add_server(std::string const& id, support::raw_listener const& listener)
    {
        push(events::store_update<fleet::backend_server>{
            true, 1, {{id, 1, make_server(id, listener)}}});
    }

    void push(events::gateway_event event)
    {
        bool const is_pushed = m_events.try_push(std::move(event));
        REQUIRE(is_pushed);
    }

    [[nodiscard]] raw_connection connect() const
    {
        return support::connect_to(m_settings.gateway->callers.port);
    }

    /// @returns the outcomes that wait for the settlement.
    std::vector<events::settle_request> take_settled()
    {
        std::vector<events::settle_request> settled;
        m_context.shared<kernel::mailbox<events::settle_request>>().drain(
            [&settled](events::settle_request&& item)
            {
                settled.push_back(std::move(item));
            });
        return settled;
    }

    /// @returns the gauge of bytes in unanswered requests.
    [[nodiscard]] double held_bytes() const
    {
        auto const text = fetch(m_settings.gateway->metrics.port, "/metrics");
        std::string const name = "\npistachiohub_gateway_held_bytes ";
        auto const position = text.find(name);
        return position == std::string::npos ? 0 : std::stod(text.substr(position + name.size()));
    }

    [[nodiscard]] static std::string fetch(std::uint16_t port, std::string const& target)
    {
        auto connection = support::connect_to(port);
        connection.send("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
        return connection.receive_message();
    }
};

inline bool has_status(std::string const& message, std::string const& status)
{
    return message.starts_with("HTTP/1.1 " + status + ' ');
}

} // namespace pistachiohub::gateway_test
