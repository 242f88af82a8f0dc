#include "plugins/backend/backend_client.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace pistachiohub::backend
{

namespace
{

// Kept out of the limit for attempts, so that probes and cancellations always have a connection.
constexpr std::size_t control_connections = 2;

std::string_view to_string(events::attempt_end end)
{
    switch (end)
    {
    case events::attempt_end::answered:
        return "answered";
    case events::attempt_end::refused:
        return "refused";
    case events::attempt_end::never_sent:
        return "never_sent";
    case events::attempt_end::broken:
        return "broken";
    case events::attempt_end::deadline:
        return "deadline";
    }
    return "unknown";
}

std::string_view to_string(exchange_end end)
{
    switch (end)
    {
    case exchange_end::answered:
        return "answered";
    case exchange_end::limit_reached:
        return "limit_reached";
    case exchange_end::unreachable:
        return "unreachable";
    case exchange_end::expired_unsent:
    case exchange_end::expired:
        return "expired";
    case exchange_end::broken:
        return "broken";
    }
    return "unknown";
}

events::attempt_end attempt_end_of(exchange_end end)
{
    switch (end)
    {
    case exchange_end::limit_reached:
    case exchange_end::unreachable:
    case exchange_end::expired_unsent:
        return events::attempt_end::never_sent;
    case exchange_end::expired:
        return events::attempt_end::deadline;
    default:
        return events::attempt_end::broken;
    }
}

} // namespace

backend_client::backend_client(kernel::event_loop& loop,
                               kernel::metrics& counters,
                               backend_client_times const& times,
                               backend_client_outputs outputs)
    : m_loop(loop)
    , m_counters(counters)
    , m_times(times)
    , m_outputs(std::move(outputs))
{
}

void backend_client::set_limits(view::world_view const& world)
{
    auto const hosts = std::count_if(world.entry_hosts.begin(),
                                     world.entry_hosts.end(),
                                     [&world](view::entry_host const& host)
                                     {
                                         return host.failure_domain == world.own_failure_domain &&
                                                host.state != view::member_state::silent;
                                     });
    auto const sharers = static_cast<std::size_t>(std::max<std::ptrdiff_t>(hosts, 1));
    m_limits.clear();
    for (auto const& service : world.configuration->services)
    {
        auto const share = service.connections / sharers;
        m_limits[service.name] = share > control_connections ? share - control_connections : 1;
    }
}

void backend_client::dispatch(events::dispatch_attempt&& attempt)
{
    auto const pool = find_pool(attempt.address, attempt.port);
    exchange_bounds const bounds{attempt.deadline, m_times.late, attempt_limit(attempt.service)};
    auto request = make_run_request(attempt);
    auto const id = request.request_id;
    auto const number = request.attempt;
    start_exchange(m_loop,
                   pool,
                   std::move(request),
                   bounds,
                   [this,
                    pool,
                    dispatch = attempt.dispatch,
                    server = std::move(attempt.backend_server),
                    id,
                    number](exchange_end end, server_answer&& answer)
                   {
                       if (end == exchange_end::unreachable)
                           observe_unreachable(server);
                       if (end != exchange_end::answered)
                           return report_attempt(dispatch, attempt_end_of(end), {});
                       observe(*pool, server, read_report(answer));
                       auto const proven = classify_answer(answer, id, number);
                       bool const is_answered = proven == events::attempt_end::answered;
                       report_attempt(
                           dispatch, proven, is_answered ? std::move(answer.body) : std::string());
                   });
}

void backend_client::cancel(events::cancel_attempt const& attempt)
{
    auto const pool = find_pool(attempt.address, attempt.port);
    auto request = make_cancel_request(attempt);
    auto const id = request.request_id;
    auto const number = request.attempt;
    exchange_bounds const bounds{kernel::monotonic_now() + m_times.control,
                                 kernel::duration::zero(),
                                 std::numeric_limits<std::size_t>::max()};
    start_exchange(
        m_loop,
        pool,
        std::move(request),
        bounds,
        [this, dispatch = attempt.dispatch, id, number](exchange_end end, server_answer&& answer)
        {
            bool const is_proven =
                end == exchange_end::answered && is_cancelled(answer, id, number);
            m_outputs.cancel({dispatch, is_proven});
        });
}

void backend_client::probe(view::world_view const& world)
{
    for (auto const& server : world.backend_servers)
        probe(server);
}

void backend_client::probe(view::backend_server const& server)
{
    auto const pool = find_pool(server.address, server.port);
    if (pool->is_probing)
        return;
    pool->is_probing = true;
    exchange_bounds const bounds{kernel::monotonic_now() + m_times.control,
                                 kernel::duration::zero(),
                                 std::numeric_limits<std::size_t>::max()};
    start_exchange(m_loop,
                   pool,
                   make_probe_request(),
                   bounds,
                   [this, pool, name = server.name](exchange_end end, server_answer&& answer)
                   {
                       pool->is_probing = false;
                       if (end == exchange_end::unreachable)
                           observe_unreachable(name);
                       auto const report =
                           end == exchange_end::answered ? read_probe(answer) : std::nullopt;
                       // A silent or wrong endpoint says nothing of the server: its load report
                       // ages, and attempts show whether it serves.
                       if (report)
                           return observe(*pool, name, report);
                       bool const is_answered = end == exchange_end::answered;
                       count("pistachiohub_backend_probes_failed_total",
                             "reason",
                             is_answered ? "malformed" : to_string(end));
                   });
}

void backend_client::close_idle()
{
    auto const oldest = kernel::monotonic_now() - m_times.idle;
    for (auto entry = m_pools.begin(); entry != m_pools.end();)
    {
        auto& pool = *entry->second;
        pool.close_idle(oldest);
        bool const is_unused = pool.connections() == 0 && entry->second.use_count() == 1;
        entry = is_unused ? m_pools.erase(entry) : std::next(entry);
    }
}

std::size_t backend_client::attempt_limit(std::string const& service) const
{
    // A service that a new configuration has just removed may still have attempts under way.
    auto const found = m_limits.find(service);
    return found == m_limits.end() ? 1 : found->second;
}

std::shared_ptr<connection_pool> const& backend_client::find_pool(std::string const& address,
                                                                  std::uint16_t port)
{
    auto& pool = m_pools[address + ' ' + std::to_string(port)];
    if (!pool)
        pool = std::make_shared<connection_pool>(m_loop, address, port);
    return pool;
}

void backend_client::report_attempt(std::uint64_t dispatch,
                                    events::attempt_end end,
                                    std::string&& answer)
{
    count("pistachiohub_backend_attempts_total", "end", to_string(end));
    m_outputs.attempt({dispatch, end, std::move(answer)});
}

void backend_client::observe_unreachable(std::string const& backend_server)
{
    events::backend_observation observation;
    observation.backend_server = backend_server;
    observation.observed_at = kernel::monotonic_now();
    observation.is_reachable = false;
    m_outputs.observe(std::move(observation));
}

void backend_client::observe(connection_pool& pool,
                             std::string const& backend_server,
                             std::optional<server_report> const& report)
{
    if (!report)
        return;
    // A report of the load alone does not make a leaving server live again.
    if (report->is_leaving)
        pool.is_leaving = report->is_leaving;
    events::backend_observation observation;
    observation.backend_server = backend_server;
    observation.observed_at = kernel::monotonic_now();
    observation.is_leaving = pool.is_leaving.value_or(false);
    observation.load = report->load;
    m_outputs.observe(std::move(observation));
}

void backend_client::count(std::string_view name, std::string_view label, std::string_view value)
{
    m_counters.find_counter(name, {label, value}).increment();
}

} // namespace pistachiohub::backend
