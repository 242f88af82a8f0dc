#include "plugins/gateway/customer_quotas.hpp"

#include "plugins/gateway/affinity.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace pistachiohub::gateway
{

namespace
{

constexpr double log_lines_per_second = 10;
// Number of customers with their own metric labels; the others share one. Bounds the memory.
constexpr std::size_t max_labelled = 100;

void apply_bounds(quota::ledger& ledger, kernel::gateway_bounds const& bounds)
{
    ledger.bound.window_seconds =
        std::max(0.1, std::chrono::duration<double>(bounds.quota_window).count());
    ledger.bound.excess = bounds.quota_excess;
    ledger.bound.slack = bounds.quota_slack;
}

} // namespace

customer_quotas::customer_quotas(kernel::gateway_bounds const& bounds, kernel::metrics& metrics)
    : m_metrics(metrics)
    , m_log(log_lines_per_second)
{
    apply_bounds(m_ledger, bounds);
    std::random_device random;
    constexpr unsigned bits = 32;
    m_ledger.session_seed = (std::uint64_t{random()} << bits) | random();
}

void customer_quotas::apply_limits(std::shared_ptr<routing::routing_table const> const& table,
                                   kernel::monotonic_time now)
{
    if (table == m_table || !table)
        return;
    m_table = table;
    std::vector<quota::customer_limit> limits;
    if (!table->document.customers)
        return quota::set_limits(m_ledger, {}, now);
    for (auto const& customer : *table->document.customers)
    {
        if (customer.requests_per_second && customer.is_readable)
            limits.push_back(
                {hash_text(customer.name), *customer.requests_per_second, customer.burst});
    }
    quota::set_limits(m_ledger, limits, now);
}

void customer_quotas::tick(std::shared_ptr<routing::routing_table const> const& table,
                           kernel::gateway_bounds const& bounds,
                           std::size_t fleet_hosts,
                           kernel::monotonic_time now)
{
    apply_limits(table, now);
    if (m_ledger.accounts.empty() || now - m_ticked_at < quota::publish_interval)
        return;
    m_ticked_at = now;
    apply_bounds(m_ledger, bounds);
    m_ledger.fleet_hosts = static_cast<std::uint32_t>(fleet_hosts);
    quota::tick(m_ledger, now);
    m_metrics.set_gauge("pistachiohub_gateway_quota_customers",
                        static_cast<double>(m_ledger.accounts.size()));
    auto const in_debt = std::count_if(m_ledger.accounts.begin(),
                                       m_ledger.accounts.end(),
                                       [](auto const& entry)
                                       {
                                           return entry.second.fleet_tokens < 1;
                                       });
    m_metrics.set_gauge("pistachiohub_gateway_quota_customers_without_tokens",
                        static_cast<double>(in_debt));
}

bool customer_quotas::try_admit(gateway_request& request, kernel::monotonic_time now)
{
    if (request.customer == nullptr)
        return true;
    apply_limits(request.table, now);
    auto const hash = hash_text(request.customer->name);
    if (!m_ledger.accounts.contains(hash))
        return true;
    auto const decided = quota::try_admit(m_ledger, hash, now);
    request.has_quota_token = decided.is_admitted;
    if (m_labelled.size() < max_labelled)
        m_labelled.insert(request.customer->name);
    count(request.customer->name, "asked");
    count(request.customer->name, decided.is_admitted ? "admitted" : "refused");
    if (decided.is_admitted)
        return true;
    request.quota_wait = decided.retry_after;
    if (m_log.admit(now))
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          "request_over_quota",
                          {{"id", std::string_view(request.id)},
                           {"customer", std::string_view(request.customer->name)},
                           {"fleet_tokens", decided.fleet_tokens},
                           {"own_tokens", decided.own_tokens},
                           {"share", decided.share},
                           {"hosts_heard", decided.hosts_heard},
                           {"fleet_hosts", decided.fleet_hosts},
                           {"view_age_ms", decided.view_age.count()},
                           {"retry_after_ms", decided.retry_after.count()},
                           {"suppressed", m_log.take_suppressed()}});
    return false;
}

void customer_quotas::give_back(gateway_request& request)
{
    if (!std::exchange(request.has_quota_token, false))
        return;
    quota::give_back(m_ledger, hash_text(request.customer->name));
    count(request.customer->name, "returned");
}

void customer_quotas::count(std::string const& customer, std::string_view result)
{
    auto const label = m_labelled.contains(customer) ? std::string_view(customer) : "other";
    m_metrics
        .find_counter("pistachiohub_gateway_quota_requests_total",
                      {{"customer", label}, {"result", result}})
        .increment();
}

} // namespace pistachiohub::gateway
