/// @file
/// The part of the dispatcher that handles what backend servers say of themselves.

#include "plugins/gateway/dispatcher.hpp"

namespace pistachiohub::gateway
{

void dispatcher::server_notice_received(gateway_request const& request,
                                        interface::server_notice const& notice,
                                        kernel::monotonic_time now)
{
    auto& server = *request.server;
    if (notice.is_malformed)
        return log_malformed_notice(server);
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
        server.limit = {*named, named_at};
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
             {"named_ms_ago",
              std::chrono::duration_cast<std::chrono::milliseconds>(now - named_at).count()},
             {"suppressed", m_request_log.take_suppressed()}});
}

} // namespace pistachiohub::gateway
