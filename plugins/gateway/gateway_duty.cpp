/// @file
/// The duty "gateway": serves callers, the directory, readiness and metrics, and connects to
/// backend servers, all on one thread.

#include "kernel/event_loop.hpp"
#include "kernel/log.hpp"
#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "libraries/events/gateway_event.hpp"
#include "libraries/events/store_command.hpp"
#include "libraries/http/server.hpp"
#include "libraries/interface/interface.hpp"
#include "plugins/gateway/caller_server.hpp"
#include "plugins/gateway/directory_choice.hpp"
#include "plugins/gateway/dispatcher.hpp"
#include "plugins/gateway/load_exchange.hpp"
#include "plugins/gateway/server_connection_pool.hpp"
#include "plugins/gateway/status_report.hpp"
#include "plugins/memory/host_shares.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <optional>
#include <random>

namespace pistachiohub::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr int start_order = 120;
constexpr unsigned http_ok = 200;
constexpr unsigned http_bad_request = 400;
constexpr unsigned http_not_found = 404;
constexpr unsigned http_unavailable = 503;
// Time for which callers may cache a directory answer; short, so that they soon stop using a host
// that failed.
constexpr auto directory_time_to_live = milliseconds(3000);
constexpr auto sweep_interval = milliseconds(500);
// Maximum number of log lines per second for malformed directory queries.
constexpr double directory_log_lines_per_second = 10;
// Share of the shutdown grace period in which new connections are accepted, since callers may still
// use a cached directory answer.
constexpr double accepting_share_of_grace = 0.6;
// The drain ends this long before the end of the grace period, at which the process is killed, even
// if requests are still open.
constexpr auto shutdown_margin = milliseconds(400);
// Length of a settlement epoch. Requests are assigned to epochs by their arrival time.
constexpr auto settlement_epoch = std::chrono::minutes(1);
constexpr auto drain_check_interval = milliseconds(50);

class gateway_duty : public kernel::duty
{
public:
    explicit gateway_duty(kernel::daemon_context& context)
        : m_context(context)
        , m_settings(*context.own_settings().gateway)
        , m_interface(interface::find_interface(m_settings.interface_name))
        , m_events(context.shared<kernel::mailbox<events::gateway_event>>())
        , m_settle_requests(context.shared<kernel::mailbox<events::settle_request>>())
        , m_reloaded_settings(context.shared<kernel::snapshot<kernel::settings>>())
        , m_answer_memory{memory::answer_memory(m_settings.resources)}
        , m_timer(m_loop.context())
        , m_dispatcher(context.own_settings(), make_actions(), context.own_metrics())
        , m_quota_exchange(context.own_settings().name, m_dispatcher.quotas().ledger())
        , m_pool(m_loop,
                 context.own_metrics(),
                 m_interface.headers,
                 m_answer_memory,
                 make_server_pool_events())
        , m_caller_server(m_loop,
                          context.own_metrics(),
                          m_settings.callers,
                          m_interface.headers,
                          {memory::caller_connections(m_settings.resources),
                           memory::request_memory(m_settings.resources)},
                          m_answer_memory,
                          make_caller_server_events())
        , m_readiness(make_server(m_settings.readiness, &gateway_duty::answer_readiness))
        , m_directory(make_server(m_settings.directory, &gateway_duty::answer_directory))
        , m_metrics(make_server(m_settings.metrics, &gateway_duty::answer_metrics))
    {
        m_dispatcher.hosts().is_own_ready = false;
        // UDP and TCP port numbers are independent, so the load exchange uses the relay's port too.
        if (m_settings.relay.port != 0)
            m_load_exchange = std::make_unique<load_exchange>(
                m_loop, context.own_metrics(), m_settings.relay, m_dispatcher.servers());
        if (m_load_exchange)
            m_load_exchange->share_quotas(m_quota_exchange);
        context.on_drain(
            [this]()
            {
                // If the ring is full, sweep() notices the drain.
                static_cast<void>(m_events.try_push(events::drain_begun{}));
            });
    }

    ~gateway_duty() override
    {
        m_events.set_wake_up({});
    }

    gateway_duty(gateway_duty const&) = delete;
    gateway_duty& operator=(gateway_duty const&) = delete;

    void run() override
    {
        m_loop.consume(m_events,
                       [this](events::gateway_event&& event)
                       {
                           std::visit(
                               [this](auto const& known)
                               {
                                   handle(known);
                               },
                               event);
                           update_readiness();
                           arm_timer();
                       });
        m_loop.every(sweep_interval,
                     [this]()
                     {
                         sweep();
                     });
        m_loop.run();
    }

    void request_stop() override
    {
        m_loop.stop();
    }

private:
    using handler = http::server_reply (gateway_duty::*)(http::server_request const&);

    dispatcher_actions make_actions()
    {
        dispatcher_actions actions;
        actions.send = [this](request_pointer const& request, milliseconds)
        {
            m_pool.send(request);
        };
        actions.cancel = [this](request_pointer const& request)
        {
            m_pool.cancel(request);
        };
        actions.reply = [this](request_pointer const& request, answer&& made)
        {
            m_caller_server.reply(request, std::move(made));
        };
        actions.end_stream = [this](request_pointer const& request)
        {
            m_caller_server.end_stream(request);
        };
        actions.break_stream = [this](request_pointer const& request, answer&& replacement)
        {
            m_caller_server.break_stream(request, std::move(replacement));
        };
        actions.settle = [this](gateway_request const& request, outcome result)
        {
            settle(request, result);
        };
        actions.check_server = [this](server_pointer const& server)
        {
            probe_listener(m_loop,
                           server->record.address,
                           [this, server](bool is_refused)
                           {
                               m_dispatcher.server_checked(
                                   server, is_refused, kernel::monotonic_now());
                           });
        };
        actions.publish_crashes = [this](fleet::crash_knowledge&& known)
        {
            m_context.shared<kernel::snapshot<fleet::crash_knowledge>>().publish(
                std::make_shared<fleet::crash_knowledge const>(std::move(known)));
        };
        actions.wall_clock_ms = kernel::wall_clock_ms;
        actions.boot_clock = kernel::boot_clock::now;
        actions.random = [this]()
        {
            return std::uniform_real_distribution<double>(0, 1)(m_random);
        };
        return actions;
    }

    void settle(gateway_request const& request, outcome result)
    {
        events::settle_request settlement;
        auto const epoch = (request.arrived_at - m_started_at) / settlement_epoch;
        settlement.id = {m_context.own_settings().name,
                         m_context.incarnation(),
                         static_cast<std::uint32_t>(epoch),
                         // Header values are any bytes, and the settlement is JSON.
                         identity::encode_callers_id(request.id)};
        settlement.service = request.service;
        settlement.result = result;
        if (m_settle_requests.try_push(std::move(settlement)))
            return;
        m_context.own_metrics()
            .find_counter("pistachiohub_gateway_settlements_lost_total")
            .increment();
        kernel::log_event(kernel::log_level::error,
                          "gateway",
                          "settlement_lost",
                          {{"id", std::string_view(request.id)}, {"outcome", to_string(result)}});
    }

    server_pool_events make_server_pool_events()
    {
        server_pool_events events;
        events.notice_received =
            [this](request_pointer const& request, interface::server_notice const& notice)
        {
            m_dispatcher.server_notice_received(*request, notice, kernel::monotonic_now());
        };
        events.has_requests_behind = [this](request_pointer const& request)
        {
            return m_caller_server.has_requests_behind(request);
        };
        events.stream_begun = [this](request_pointer const& request,
                                     answer&& head,
                                     std::optional<std::uint64_t> length)
        {
            m_dispatcher.stream_began(*request, kernel::monotonic_now());
            m_caller_server.begin_stream(request, std::move(head), length);
        };
        events.part_received = [this](request_pointer const& request, std::string&& part)
        {
            return m_caller_server.stream(request, std::move(part));
        };
        events.ended = [this](request_pointer const& request, attempt_end&& end)
        {
            m_dispatcher.attempt_ended(request, std::move(end), kernel::monotonic_now());
            arm_timer();
        };
        return events;
    }

    caller_server_events make_caller_server_events()
    {
        caller_server_events events;
        events.stream_drained = [this](request_pointer const& request)
        {
            m_pool.resume(request);
        };
        events.request_received = [this](request_pointer const& request)
        {
            m_dispatcher.begin(request, kernel::monotonic_now());
            arm_timer();
        };
        events.caller_disconnected = [this](request_pointer const& request, std::string_view cause)
        {
            m_dispatcher.caller_gone(request, cause, kernel::monotonic_now());
        };
        return events;
    }

    std::unique_ptr<http::server> make_server(kernel::endpoint const& own, handler answer)
    {
        return std::make_unique<http::server>(
            m_loop,
            m_context.own_metrics(),
            "pistachiohub_gateway_service_refusals_total",
            own,
            [this, answer](http::server_request const& wanted, http::reply_function const& reply)
            {
                reply((this->*answer)(wanted));
            },
            memory::service_limits(m_settings.resources));
    }

    void handle(events::store_update<routing::routing_document> const& update)
    {
        m_dispatcher.apply(update);
        if (m_dispatcher.table())
            m_caller_server.set_limits(m_dispatcher.table()->document.limits);
    }

    void handle(events::store_update<fleet::entry_host> const& update)
    {
        m_dispatcher.apply(update, kernel::monotonic_now());
        // The feeds wait for the first choice.
        if (!m_is_relay_chosen)
            publish_relay(choose_relay(m_dispatcher.hosts(), kernel::monotonic_now()));
    }

    void handle(events::store_update<fleet::backend_server> const& update)
    {
        m_dispatcher.apply(update, kernel::monotonic_now());
    }

    void handle(events::store_update<events::evacuation> const& update)
    {
        m_dispatcher.apply(update, kernel::monotonic_now());
    }

    void handle(events::store_contact const& contact)
    {
        auto const now = kernel::monotonic_now();
        if (!contact.is_reachable && !m_dispatcher.is_ready())
            m_dispatcher.start_failed(now);
        if (contact.kind == m_interface.kinds.backend_servers)
            m_dispatcher.set_server_store_reachable(contact.is_reachable, now);
        if (contact.kind == m_interface.kinds.entry_hosts)
            m_dispatcher.set_host_store_reachable(contact.is_reachable, now);
    }

    void handle(events::configuration_confirmed const& confirmed)
    {
        m_dispatcher.configuration_confirmed(confirmed.begun_at);
    }

    void handle(events::drain_begun const&)
    {
        begin_drain();
    }

    void begin_drain()
    {
        if (std::exchange(m_is_draining, true))
            return;
        m_dispatcher.hosts().own.is_leaving = true;
        m_caller_server.drain();
        // The kill comes at the end of the grace period, however late the gateway begins its drain.
        auto const now = kernel::monotonic_now();
        auto const began_at = m_context.drain_began_at().value_or(now);
        auto const grace = m_settings.bounds.shutdown_grace;
        auto const accepting = std::chrono::duration_cast<milliseconds>(
            std::chrono::duration<double>(grace) * accepting_share_of_grace);
        kernel::log_event(
            kernel::log_level::info,
            "gateway",
            "drain_accepting",
            {{"open_requests", m_dispatcher.open_requests()},
             {"accepting_ms", accepting.count()},
             {"signal_ms_ago", std::chrono::duration_cast<milliseconds>(now - began_at).count()}});
        m_loop.after(began_at + accepting - now,
                     [this]()
                     {
                         m_caller_server.stop_accepting();
                         finish_drain_when_idle();
                     });
        auto const serving = std::max<kernel::duration>(grace - shutdown_margin, accepting);
        m_dispatcher.set_service_end(make_service_end(began_at, serving));
        m_loop.after(began_at + serving - now,
                     [this]()
                     {
                         finish_drain("time_is_up");
                     });
    }

    void finish_drain_when_idle()
    {
        m_caller_server.close_unused();
        if (m_caller_server.open_connections() == 0)
            return finish_drain("idle");
        m_loop.after(drain_check_interval,
                     [this]()
                     {
                         finish_drain_when_idle();
                     });
    }

    void finish_drain(std::string_view cause)
    {
        if (m_context.is_drained())
            return;
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          "drain_finished",
                          {{"cause", cause}, {"open_requests", m_dispatcher.open_requests()}});
        m_dispatcher.end_service(kernel::monotonic_now());
        m_context.finish_drain();
    }

    [[nodiscard]] bool is_ready() const
    {
        return m_dispatcher.is_ready() && !m_is_draining;
    }

    void update_readiness()
    {
        m_dispatcher.hosts().is_own_ready = m_dispatcher.is_ready();
        if (is_ready() == m_was_ready)
            return;
        m_was_ready = is_ready();
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          m_was_ready ? "ready" : "not_ready",
                          {{"is_draining", static_cast<int>(m_is_draining)}});
    }

    void sweep()
    {
        if (m_context.is_draining())
            begin_drain();
        m_pool.sweep(kernel::monotonic_now());
        publish_relay(choose_relay(m_dispatcher.hosts(), kernel::monotonic_now()));
        update_quota_readers();
        auto const* const changed = m_reloaded_settings.get();
        if (changed == nullptr || changed == m_applied_settings || !changed->gateway)
            return;
        m_applied_settings = changed;
        m_settings.bounds = changed->gateway->bounds;
        m_dispatcher.set_bounds(changed->gateway->bounds);
    }

    void update_quota_readers()
    {
        if (!m_load_exchange || m_dispatcher.quotas().ledger().accounts.empty())
            return;
        auto const now = kernel::monotonic_now();
        std::vector<quota_peer> others;
        if (m_relay.host.empty())
        {
            for (auto const& reader : other_readers(m_dispatcher.hosts(), now))
                others.push_back({reader.host, reader.address});
        }
        m_quota_exchange.set_readers({m_relay.host, m_relay.address}, others, now);
    }

    void publish_relay(fleet::relay_choice&& chosen)
    {
        if (!m_dispatcher.hosts().is_loaded || (m_is_relay_chosen && chosen == m_relay))
            return;
        m_is_relay_chosen = true;
        m_relay = chosen;
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          "relay_chosen",
                          {{"host", std::string_view(chosen.host)}});
        if (m_load_exchange)
            m_load_exchange->set_reader(chosen.address, kernel::monotonic_now());
        m_context.shared<kernel::snapshot<fleet::relay_choice>>().publish(
            std::make_shared<fleet::relay_choice const>(std::move(chosen)));
    }

    void arm_timer()
    {
        auto const wanted = m_dispatcher.next_tick(kernel::monotonic_now());
        if (m_timer_expiry && *m_timer_expiry <= wanted)
            return;
        m_timer_expiry = wanted;
        m_timer.expires_at(wanted);
        m_timer.async_wait(
            [this](boost::system::error_code failure)
            {
                if (failure)
                    return;
                m_timer_expiry.reset();
                m_dispatcher.tick(kernel::monotonic_now());
                arm_timer();
            });
    }

    http::server_reply answer_readiness(http::server_request const& wanted)
    {
        if (wanted.path != m_interface.readiness_path)
            return {http_not_found, "{\"reason\":\"unknown_path\"}"};
        if (!is_ready())
            return {http_unavailable, "{\"reason\":\"not_ready\"}"};
        return {http_ok, "{}"};
    }

    http::server_reply answer_directory(http::server_request const& wanted)
    {
        if (wanted.path != m_interface.directory_path)
            return {http_not_found, "{\"reason\":\"unknown_path\"}"};
        try
        {
            auto const query = m_interface.decode_directory_query(wanted.query);
            auto const& table = m_dispatcher.table();
            auto const hosts = choose_entry_hosts(
                m_dispatcher.hosts(),
                query.region,
                query.failure_domain,
                names_by_capacity(m_settings.named_hosts, table ? &table->document : nullptr),
                kernel::monotonic_now());
            m_context.own_metrics().set_gauge("pistachiohub_gateway_directory_hosts",
                                              static_cast<double>(hosts.size()));
            if (hosts.empty())
                return {http_unavailable, "{\"reason\":\"no_entry_host\"}"};
            auto const time_to_live =
                std::min(directory_time_to_live, m_settings.bounds.directory_ttl);
            return {http_ok, m_interface.encode_directory_answer(hosts, time_to_live)};
        }
        catch (interface::document_error const& failure)
        {
            if (m_directory_log_limiter.admit(kernel::monotonic_now()))
                kernel::log_event(kernel::log_level::info,
                                  "gateway",
                                  "directory_query_refused",
                                  {{"error", std::string_view(failure.what())},
                                   {"suppressed", m_directory_log_limiter.take_suppressed()}});
            return {http_bad_request, "{\"reason\":\"bad_query\"}"};
        }
    }

    http::server_reply answer_metrics(http::server_request const& wanted)
    {
        if (wanted.path == "/v1/status")
            return {http_ok, make_status(m_context, m_dispatcher, kernel::monotonic_now())};
        if (wanted.path != "/metrics")
            return {http_not_found, "{\"reason\":\"unknown_path\"}"};
        auto& metrics = m_context.own_metrics();
        metrics.set_gauge("pistachiohub_gateway_open_requests",
                          static_cast<double>(m_dispatcher.open_requests()));
        metrics.set_gauge("pistachiohub_gateway_held_bytes",
                          static_cast<double>(m_caller_server.held_bytes()));
        metrics.set_gauge("pistachiohub_gateway_answer_bytes",
                          static_cast<double>(m_answer_memory.held));
        if (auto const& contact = m_dispatcher.contact(); contact.is_strict && contact.confirmed_at)
            metrics.set_gauge(
                "pistachiohub_gateway_configuration_contact_age_seconds",
                std::chrono::duration<double>(kernel::boot_clock::now() - *contact.confirmed_at)
                    .count());
        return {http_ok, metrics.text(), "text/plain; version=0.0.4"};
    }

    kernel::daemon_context& m_context;
    kernel::gateway_settings m_settings;
    interface::deployment_interface const& m_interface;
    kernel::mailbox<events::gateway_event>& m_events;
    kernel::mailbox<events::settle_request>& m_settle_requests;
    kernel::snapshot_reader<kernel::settings> m_reloaded_settings;
    kernel::settings const* m_applied_settings = nullptr;
    std::mt19937_64 m_random{std::random_device{}()};
    kernel::monotonic_time m_started_at = kernel::monotonic_now();
    /// Outlives the loop, whose pending operations hold claims on it.
    answer_memory m_answer_memory;
    kernel::event_loop m_loop;
    boost::asio::steady_timer m_timer;
    std::optional<kernel::monotonic_time> m_timer_expiry;
    dispatcher m_dispatcher;
    quota_exchange m_quota_exchange;
    server_connection_pool m_pool;
    caller_server m_caller_server;
    std::unique_ptr<http::server> m_readiness;
    std::unique_ptr<http::server> m_directory;
    std::unique_ptr<http::server> m_metrics;
    std::unique_ptr<load_exchange> m_load_exchange;
    kernel::log_limiter m_directory_log_limiter{directory_log_lines_per_second};
    fleet::relay_choice m_relay;
    /// Whether the feeds were told where to read.
    bool m_is_relay_chosen = false;
    bool m_is_draining = false;
    bool m_was_ready = false;
};

std::unique_ptr<kernel::duty> create(kernel::daemon_context& context)
{
    return std::make_unique<gateway_duty>(context);
}

kernel::registration const
    gateway_registration({"gateway", start_order, create, kernel::daemon_part::gateway});

} // namespace

} // namespace pistachiohub::gateway
