#pragma once

/// @file
/// A fixture that runs a dispatcher with a simulated clock and without sockets.

#include "plugins/gateway/affinity.hpp"
#include "plugins/gateway/dispatcher.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pistachiohub::gateway_test
{

/// The answer that was sent to a caller.
struct delivered_answer
{
    unsigned status = 0;
    std::string body;
    std::string retry_after;
};

/// A dispatcher on host-1 in the failure domain sve-a, with one service `s` and the routes `/i/`
/// (idempotent) and `/o/` (at most once). Both have a target latency of 400 ms and a timeout of
/// 1000 ms. The actions of the dispatcher are recorded.
class dispatcher_fixture
{
protected:
    kernel::monotonic_time m_now{std::chrono::hours(1)};
    kernel::metrics m_metrics;
    std::vector<gateway::request_pointer> m_sent;
    std::vector<gateway::request_pointer> m_cancelled;
    std::map<std::uint64_t, delivered_answer> m_replies;
    /// Streams that ended, by the number of the request, and whether they were complete.
    std::map<std::uint64_t, bool> m_ended_streams;
    /// Servers for which a check of the address was requested.
    std::vector<gateway::server_pointer> m_checked;
    /// Crash reports that were published last.
    std::vector<fleet::crash_report> m_reports;
    /// Quarantines that were published last.
    std::vector<fleet::quarantined_request> m_quarantines;
    std::uint64_t m_wall_clock_ms = 1'800'000'000'000;
    kernel::boot_time m_boot_time{std::chrono::hours(2)};
    /// Bounds of the dispatchers that are made from now on.
    kernel::gateway_bounds m_bounds = make_bounds();
    /// Recorded outcomes by request id.
    std::multimap<std::string, outcome> m_settled;
    double m_random = 0.5;
    routing::routing_document m_document;
    std::uint64_t m_last_number = 0;
    std::unique_ptr<gateway::dispatcher> m_dispatcher;

    dispatcher_fixture()
        : m_dispatcher(make_dispatcher())
    {
        fleet::entry_host host;
        host.name = "host-1";
        m_dispatcher->apply(
            events::store_update<fleet::entry_host>{true, 1, {{host.name, 1, host}}}, m_now);
        m_dispatcher->apply(events::store_update<fleet::backend_server>{true, 1, {}}, m_now);
        add_route("idempotent", "/i/", routing::request_kind::idempotent, "s");
        add_route("once", "/o/", routing::request_kind::at_most_once, "s");
        publish(1);
    }

    static kernel::gateway_bounds make_bounds()
    {
        kernel::gateway_bounds bounds;
        bounds.extra_retries = 60;
        return bounds;
    }

    /// @returns a dispatcher that has read nothing yet.
    std::unique_ptr<gateway::dispatcher> make_dispatcher()
    {
        kernel::settings own;
        own.name = "host-1";
        own.failure_domain = "sve-a";
        own.gateway.emplace();
        own.gateway->region = "svealand";
        own.gateway->region_of_domain = {
            {"sve-a", "svealand"}, {"sve-b", "svealand"}, {"got-a", "gotaland"}};
        own.gateway->bounds = m_bounds;
        gateway::dispatcher_actions actions;
        actions.send = [this](gateway::request_pointer const& request, std::chrono::milliseconds)
        {
            m_sent.push_back(request);
        };
        actions.cancel = [this](gateway::request_pointer const& request)
        {
            m_cancelled.push_back(request);
        };
        actions.reply = [this](gateway::request_pointer const& request, gateway::answer&& made)
        {
            m_replies[request->number] = {
                made.status,
                made.body,
                std::string(gateway::find_header_value(made.headers, "Retry-After"))};
        };
        actions.end_stream = [this](gateway::request_pointer const& request)
        {
            m_ended_streams[request->number] = true;
        };
        actions.break_stream = [this](gateway::request_pointer const& request, gateway::answer&&)
        {
            m_ended_streams[request->number] = false;
        };
        actions.settle = [this](gateway::gateway_request const& request, outcome result)
        {
            m_settled.emplace(request.id, result);
        };
        actions.check_server = [this](gateway::server_pointer const& server)
        {
            m_checked.push_back(server);
        };
        actions.publish_crashes = [this](fleet::crash_knowledge&& known)
        {
            m_reports = std::move(known.reports);
            m_quarantines = std::move(known.quarantines);
        };
        actions.wall_clock_ms = [this]()
        {
            return m_wall_clock_ms;
        };
        actions.boot_clock = [this]()
        {
            return m_boot_time;
        };
        actions.random = [this]()
        {
            return m_random;
        };
        return std::make_unique<gateway::dispatcher>(own, std::move(actions), m_metrics);
    }

    void add_route(std::string const& name,
                   std::string const& prefix,
                   routing::request_kind kind,
                   std::string const& service)
    {
        routing::route route;
        route.name = name;
        route.host = "a.example";
        route.path_prefix = prefix;
        route.kind = kind;
        route.timeout = std::chrono::milliseconds(1000);
        route.target_latency = std::chrono::milliseconds(400);
        route.most_attempts = 2;
        route.split = {{service, 1}};
        m_document.routes.push_back(route);
    }

    void publish(std::uint64_t version)
    {
        m_document.version = version;
        if (m_document.services.empty())
        {
            routing::service service;
            service.name = "s";
            service.cold_requests_per_second = 5;
            m_document.services.push_back(service);
        }
        m_dispatcher->apply(events::store_update<routing::routing_document>{
            true, version, {{"main", version, m_document}}});
    }

    void add_server(std::string const& id,
                    std::string const& domain = "sve-a",
                    std::uint32_t slots = 1,
                    std::chrono::milliseconds cold = std::chrono::milliseconds(0))
    {
        fleet::backend_server server;
        server.id = id;
        server.service = "s";
        server.address = {"10.0.0.1", 80};
        server.failure_domain = domain;
        server.slots = slots;
        server.cold_remaining = cold;
        m_dispatcher->apply(
            events::store_update<fleet::backend_server>{false, 1, {{id, 1, server}}}, m_now);
        // Advances past the interval at which the hosts that share budgets are updated.
        m_now += std::chrono::milliseconds(300);
        m_dispatcher->tick(m_now);
    }

    void remove_server(std::string const& id)
    {
        m_dispatcher->apply(
            events::store_update<fleet::backend_server>{false, 2, {{id, 2, std::nullopt}}}, m_now);
    }

    gateway::request_pointer
    begin(std::string const& target,
          std::string const& key = "",
          std::chrono::milliseconds deadline = std::chrono::milliseconds(3000))
    {
        auto request = std::make_shared<gateway::gateway_request>();
        request->number = ++m_last_number;
        request->id = "id-" + std::to_string(request->number);
        request->message = {"GET", target, {{"Host", "a.example"}}, ""};
        if (!key.empty())
            request->affinity_key = gateway::hash_text(key);
        request->arrived_at = m_now;
        request->caller_deadline = m_now + deadline;
        m_dispatcher->begin(request, m_now);
        return request;
    }

    void end(gateway::request_pointer const& request,
             gateway::attempt_result result,
             unsigned status = 200)
    {
        gateway::attempt_end ended;
        ended.result = result;
        ended.received.status = status;
        ended.received.body = "of the server";
        m_dispatcher->attempt_ended(request, std::move(ended), m_now);
    }

    [[nodiscard]] unsigned status_of(gateway::request_pointer const& request) const
    {
        auto const found = m_replies.find(request->number);
        return found == m_replies.end() ? 0 : found->second.status;
    }
};

} // namespace pistachiohub::gateway_test
