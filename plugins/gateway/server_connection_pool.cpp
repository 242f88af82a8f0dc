#include "plugins/gateway/server_connection_pool.hpp"

#include "plugins/gateway/message_text.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

namespace
{

using std::chrono::milliseconds;

// An idle connection is closed this long before the server's keep-alive timeout.
constexpr auto keep_alive_margin = milliseconds(1000);

kernel::duration max_idle_time(server_connection const& connection)
{
    return std::max<kernel::duration>(connection.keep_alive() - keep_alive_margin,
                                      kernel::duration{});
}

// Returns what the backend server is told in each send of the request, the first or a retry.
forwarded_customer customer_of(gateway_request const& request)
{
    return {request.table != nullptr && request.table->document.customers.has_value(),
            request.customer != nullptr ? std::string_view(request.customer->name)
                                        : std::string_view()};
}

} // namespace

server_connection_pool::server_connection_pool(kernel::event_loop& loop,
                                               kernel::metrics& counters,
                                               interface::message_headers const& names,
                                               answer_memory& memory,
                                               server_pool_events events)
    : m_loop(loop)
    , m_counters(counters)
    , m_names(names)
    , m_memory(memory)
    , m_events(std::move(events))
{
}

server_connection_pool::connection_pointer
server_connection_pool::take_idle(gateway_request const& request, kernel::monotonic_time now)
{
    auto const found = m_idle.find(request.server);
    if (found == m_idle.end())
        return nullptr;
    bool const is_idempotent = request.route->kind == routing::request_kind::idempotent;
    auto& connections = found->second;
    while (!connections.empty())
    {
        auto const idle = now - connections.back()->idle_since();
        auto const limit = is_idempotent
                               ? max_idle_time(*connections.back())
                               : std::min<kernel::duration>(max_idle_time(*connections.back()),
                                                            max_idle_time_at_most_once);
        // The last connection is the most recently used one, so the others exceed the limit too.
        if (idle > limit)
            return nullptr;
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (connection->is_reusable())
            return connection;
    }
    return nullptr;
}

void server_connection_pool::send(request_pointer const& request)
{
    auto connection = take_idle(*request, kernel::monotonic_now());
    if (!connection)
    {
        connection = std::make_unique<server_connection>(
            m_loop, request->server->record.address, m_names, m_memory);
        m_counters.find_counter("pistachiohub_gateway_server_connections_total").increment();
    }
    auto& used = *connection;
    m_running[request->number] = std::move(connection);
    used.start(
        request->id,
        request->message.method == "HEAD",
        [this, request]()
        {
            auto const remaining = std::chrono::duration_cast<milliseconds>(
                request->run_deadline - kernel::monotonic_now());
            return serialize_request(request->message,
                                     m_names,
                                     request->server->record.id,
                                     std::max(remaining, milliseconds(1)),
                                     customer_of(*request));
        },
        make_handlers(request));
}

exchange_handlers server_connection_pool::make_handlers(request_pointer const& request)
{
    exchange_handlers handlers;
    handlers.notice_received = [this, request](interface::server_notice const& notice)
    {
        m_events.notice_received(request, notice);
    };
    handlers.has_requests_behind = [this, request]()
    {
        return m_events.has_requests_behind(request);
    };
    handlers.stream_begun = [this, request](answer&& head, std::optional<std::uint64_t> length)
    {
        m_events.stream_begun(request, std::move(head), length);
    };
    handlers.part_received = [this, request](std::string&& part)
    {
        return m_events.part_received(request, std::move(part));
    };
    handlers.ended = [this, request](attempt_end&& end)
    {
        finish(request, std::move(end));
    };
    return handlers;
}

void server_connection_pool::resume(request_pointer const& request)
{
    auto const found = m_running.find(request->number);
    if (found != m_running.end())
        found->second->resume();
}

void server_connection_pool::finish(request_pointer const& request, attempt_end&& end)
{
    auto const found = m_running.find(request->number);
    if (found == m_running.end())
        return;
    auto connection = std::move(found->second);
    m_running.erase(found);
    if (connection->is_reusable() && !request->server->is_removed)
        m_idle[request->server].push_back(std::move(connection));
    m_events.ended(request, std::move(end));
}

void server_connection_pool::cancel(request_pointer const& request)
{
    m_running.erase(request->number);
}

void server_connection_pool::sweep(kernel::monotonic_time now)
{
    for (auto const& [number, connection] : m_running)
        connection->check_silence();
    for (auto& [server, connections] : m_idle)
    {
        std::erase_if(connections,
                      [now, &server = server](connection_pointer const& connection)
                      {
                          return server->is_removed ||
                                 now - connection->idle_since() > max_idle_time(*connection);
                      });
    }
    std::erase_if(m_idle,
                  [](auto const& entry)
                  {
                      return entry.second.empty();
                  });
}

} // namespace pistachiohub::gateway
