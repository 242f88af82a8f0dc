#include "plugins/gateway/server_pool.hpp"

#include "plugins/gateway/message_text.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

namespace
{

using std::chrono::milliseconds;

// Time before the server's own limit at which an idle connection is given up.
constexpr auto keep_alive_margin = milliseconds(1000);

kernel::duration usable_idle_time(server_link const& link)
{
    return std::max<kernel::duration>(link.keep_alive() - keep_alive_margin, kernel::duration{});
}

} // namespace

server_pool::server_pool(kernel::event_loop& loop,
                         kernel::metrics& counters,
                         interface::message_headers const& names,
                         end_handler handle)
    : m_loop(loop)
    , m_counters(counters)
    , m_names(names)
    , m_handle(std::move(handle))
{
}

server_pool::link_pointer server_pool::take_idle(gateway_request const& request,
                                                 kernel::monotonic_time now)
{
    auto const found = m_idle.find(request.server);
    if (found == m_idle.end())
        return nullptr;
    bool const is_repeatable = request.route->kind == routing::request_kind::idempotent;
    auto& links = found->second;
    while (!links.empty())
    {
        auto const idle = now - links.back()->idle_since();
        auto const limit = is_repeatable
                               ? usable_idle_time(*links.back())
                               : std::min<kernel::duration>(usable_idle_time(*links.back()),
                                                            fresh_connection_time);
        // The last one was used most recently; the others are older still.
        if (idle > limit)
            return nullptr;
        auto link = std::move(links.back());
        links.pop_back();
        if (link->is_reusable())
            return link;
    }
    return nullptr;
}

void server_pool::send(request_pointer const& request)
{
    auto link = take_idle(*request, kernel::monotonic_now());
    if (!link)
    {
        link = std::make_unique<server_link>(m_loop, request->server->record.address, m_names);
        m_counters.find_counter("pistachiohub_gateway_server_connections_total").increment();
    }
    auto& used = *link;
    m_running[request->number] = std::move(link);
    used.start(
        request->id,
        request->message.method == "HEAD",
        [this, request]()
        {
            auto const remaining = std::chrono::duration_cast<milliseconds>(
                request->answer_deadline - kernel::monotonic_now());
            return serialize_request(request->message,
                                     m_names,
                                     request->server->record.id,
                                     std::max(remaining, milliseconds(1)));
        },
        [this, request](attempt_end&& end)
        {
            finish(request, std::move(end));
        });
}

void server_pool::finish(request_pointer const& request, attempt_end&& end)
{
    auto const found = m_running.find(request->number);
    if (found == m_running.end())
        return;
    auto link = std::move(found->second);
    m_running.erase(found);
    if (link->is_reusable() && !request->server->is_gone)
        m_idle[request->server].push_back(std::move(link));
    m_handle(request, std::move(end));
}

void server_pool::cancel(request_pointer const& request)
{
    m_running.erase(request->number);
}

void server_pool::sweep(kernel::monotonic_time now)
{
    for (auto& [server, links] : m_idle)
    {
        std::erase_if(links,
                      [now, &server = server](link_pointer const& link)
                      {
                          return server->is_gone ||
                                 now - link->idle_since() > usable_idle_time(*link);
                      });
    }
    std::erase_if(m_idle,
                  [](auto const& entry)
                  {
                      return entry.second.empty();
                  });
}

} // namespace pistachiohub::gateway
