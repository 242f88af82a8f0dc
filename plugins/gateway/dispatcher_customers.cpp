/// @file
/// The part of the dispatcher that concerns customers: who sent a request, and what changes for
/// them with a configuration.

#include "plugins/customer/identification.hpp"
#include "plugins/customer/readable_versions.hpp"
#include "plugins/gateway/dispatcher.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

namespace
{

using customer::refusal_cause;

// Customers of one configuration that are logged one by one; the rest is counted.
constexpr std::size_t max_logged_customers = 20;

refusal refusal_for(refusal_cause cause)
{
    switch (cause)
    {
    case refusal_cause::old_contact:
        return refusal::stale_configuration;
    case refusal_cause::shared_key:
    case refusal_cause::unreadable_customer:
    case refusal_cause::unreadable_customers:
        return refusal::unreadable_configuration;
    default:
        return refusal::unknown_key;
    }
}

// Counts customers that a new configuration affects, and logs them once per version.
void report_customers(kernel::metrics& metrics,
                      std::string_view event,
                      std::vector<std::string> const& names,
                      std::uint64_t version)
{
    if (names.empty())
        return;
    metrics.find_counter("pistachiohub_gateway_customer_faults_total", {"event", event})
        .increment(static_cast<double>(names.size()));
    for (std::size_t number = 0; number < std::min(names.size(), max_logged_customers); ++number)
        kernel::log_event(kernel::log_level::warning,
                          "gateway",
                          event,
                          {{"customer", std::string_view(names[number])},
                           {"version", version},
                           {"customers", names.size()}});
}

} // namespace

void dispatcher::configuration_confirmed(kernel::boot_time begun_at)
{
    customer::note_confirmation(m_contact, begun_at);
}

bool dispatcher::awaits_confirmation() const
{
    return m_contact.is_strict && !m_contact.confirmed_at && m_table->document.customers;
}

std::optional<refusal> dispatcher::identify_customer(gateway_request& request,
                                                     kernel::monotonic_time now)
{
    if (!request.table->document.customers)
        return std::nullopt;
    // The boot clock is read after the request has been received whole, so that a request that was
    // sent while this process was suspended is judged by its true age.
    auto const trusted = m_contact.is_strict ? customer::trust_at(m_contact, m_actions.boot_clock())
                                             : customer::trust();
    note_trust(trusted.in_known_keys);
    auto const found =
        customer::identify(*request.table, request.route->is_key_exempt, request.key, trusted);
    if (found.cause == refusal_cause::none)
    {
        request.customer = found.holder;
        return std::nullopt;
    }
    m_metrics
        .find_counter("pistachiohub_gateway_customer_refusals_total",
                      {"cause", to_string(found.cause)})
        .increment();
    if (m_request_log.admit(now))
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          "customer_refused",
                          {{"id", std::string_view(request.id)},
                           {"cause", to_string(found.cause)},
                           {"customer", found.holder ? std::string_view(found.holder->name) : "-"},
                           {"route", std::string_view(request.route->name)},
                           {"configuration", request.table->document.version},
                           {"caller", std::string_view(request.caller_address)},
                           {"suppressed", m_request_log.take_suppressed()}});
    return refusal_for(found.cause);
}

void dispatcher::note_trust(bool is_trusted)
{
    if (std::exchange(m_trusts_configuration, is_trusted) == is_trusted)
        return;
    kernel::log_event(is_trusted ? kernel::log_level::info : kernel::log_level::warning,
                      "gateway",
                      is_trusted ? "keys_accepted" : "keys_suspended",
                      {{"configuration", m_table->document.version},
                       {"longest_age_ms", m_contact.longest_age.count()}});
}

std::shared_ptr<routing::routing_table const>
dispatcher::make_table(routing::routing_document document)
{
    if (m_table)
        report_customers(m_metrics,
                         "customer_version_kept",
                         customer::keep_readable(document, m_table->document),
                         document.version);
    auto table = routing::make_routing_table(std::move(document));
    report_customers(m_metrics,
                     "customer_key_shared",
                     customer::names_with_shared_keys(*table),
                     table->document.version);
    return table;
}

} // namespace pistachiohub::gateway
