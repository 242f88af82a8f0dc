/// @file
/// The part of the dispatcher that handles what backend servers say of themselves.

#include "plugins/gateway/dispatcher.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

namespace
{

// Part of a pause by which its end is put off at random, so that hosts do not return together.
constexpr double pause_spread = 0.2;

} // namespace

void dispatcher::server_notice_received(gateway_request const& request,
                                        interface::server_notice const& notice,
                                        kernel::monotonic_time now)
{
    auto& server = *request.server;
    if (notice.is_leaving && record_leaving(m_servers, request.server))
    {
        m_metrics.find_counter("pistachiohub_gateway_leaving_notices_total").increment();
        log_lost_servers({server.record.id}, "announced");
    }
    if (notice.wanted_pause)
        apply_pause(server, *notice.wanted_pause, now);
    if (notice.is_malformed)
        log_malformed_notice(server);
    // A limit that cannot be read does not end the one before.
    if (notice.max_requests_per_second || !notice.is_malformed)
        apply_limit(server, notice.max_requests_per_second, now);
}

void dispatcher::log_malformed_notice(known_server& server)
{
    m_metrics.find_counter("pistachiohub_gateway_malformed_notices_total").increment();
    if (std::exchange(server.is_malformed_notice_logged, true))
        return;
    kernel::log_event(kernel::log_level::warning,
                      "gateway",
                      "server_notice_malformed",
                      {{"server", std::string_view(server.record.id)}});
}

void dispatcher::apply_pause(known_server& server,
                             std::chrono::milliseconds wanted,
                             kernel::monotonic_time now)
{
    auto const spread =
        std::chrono::duration<double, std::milli>(wanted) * (1 + pause_spread * m_actions.random());
    server.paused_until = std::max<kernel::monotonic_time>(
        server.paused_until, now + std::chrono::duration_cast<kernel::duration>(spread));
    m_metrics.find_counter("pistachiohub_gateway_server_pauses_total").increment();
    if (m_request_log.admit(now))
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          "server_paused",
                          {{"server", std::string_view(server.record.id)},
                           {"service", std::string_view(server.record.service)},
                           {"wanted_ms", wanted.count()},
                           {"suppressed", m_request_log.take_suppressed()}});
}

void dispatcher::apply_limit(known_server& server,
                             std::optional<double> const& named,
                             kernel::monotonic_time now)
{
    bool const is_known = server.limit.has_value();
    if (!named && !is_known)
        return;
    auto const before = is_known ? server.limit->max_requests_per_second : 0;
    if (named && is_known && *named == before)
        return;
    auto const named_at = is_known ? server.limit->named_at : now;
    if (named)
    {
        if (!is_known)
            server.limit.emplace().named_at = now;
        server.limit->max_requests_per_second = *named;
        update_limit_share(server, now);
    }
    else
        server.limit.reset();
    auto const change = !named ? "ended" : is_known ? "changed" : "named";
    m_metrics.find_counter("pistachiohub_gateway_server_limits_total", {"change", change})
        .increment();
    if (m_request_log.admit(now))
        kernel::log_event(
            kernel::log_level::info,
            "gateway",
            "server_limit",
            {{"server", std::string_view(server.record.id)},
             {"service", std::string_view(server.record.service)},
             {"change", change},
             {"max_per_second", named.value_or(0)},
             {"max_per_second_before", before},
             {"own_per_second", server.limit ? server.limit->share.requests_per_second : 0},
             {"hosts", m_sharing_hosts.size()},
             {"named_ms_ago",
              std::chrono::duration_cast<std::chrono::milliseconds>(now - named_at).count()},
             {"suppressed", m_request_log.take_suppressed()}});
}

void dispatcher::update_limit_share(known_server& server, kernel::monotonic_time now)
{
    auto const in_region = select_hosts_in_region(m_hosts, m_sharing_hosts, server.region);
    set_share(*server.limit,
              share_limit(server.limit->max_requests_per_second,
                          server.record.id,
                          m_own_name,
                          in_region,
                          m_sharing_hosts),
              now,
              m_actions.random);
}

void dispatcher::update_limit_shares(kernel::monotonic_time now)
{
    for (auto const& [id, server] : m_servers.servers)
    {
        if (server->limit)
            update_limit_share(*server, now);
    }
}

} // namespace pistachiohub::gateway
