#pragma once

/// @file
/// Applies the quotas of customers to requests.

#include "kernel/gateway_settings.hpp"
#include "kernel/log.hpp"
#include "kernel/metrics.hpp"
#include "plugins/gateway/request.hpp"
#include "plugins/quota/quota.hpp"

#include <string>
#include <unordered_set>

namespace pistachiohub::gateway
{

/// The quotas at this host, with logs and metrics.
class customer_quotas
{
public:
    customer_quotas(kernel::gateway_bounds const& bounds, kernel::metrics& metrics);

    /// @returns the state that is exchanged with other hosts.
    [[nodiscard]] quota::ledger& ledger()
    {
        return m_ledger;
    }

    /// Updates the limits and the measured demand.
    /// @param fleet_hosts number of hosts of the fleet; 0 while it is unknown.
    void tick(std::shared_ptr<routing::routing_table const> const& table,
              kernel::gateway_bounds const& bounds,
              std::size_t fleet_hosts,
              kernel::monotonic_time now);

    /// Counts a request of a customer and takes a token for it.
    /// @returns whether the request is within the quota. Otherwise its `quota_wait` is set.
    [[nodiscard]] bool try_admit(gateway_request& request, kernel::monotonic_time now);

    /// Returns the token of a request that has ended without having run.
    void give_back(gateway_request& request);

private:
    void apply_limits(std::shared_ptr<routing::routing_table const> const& table,
                      kernel::monotonic_time now);
    void count(std::string const& customer, std::string_view result);

    quota::ledger m_ledger;
    kernel::metrics& m_metrics;
    kernel::log_limiter m_log;
    /// Configuration whose limits are applied.
    std::shared_ptr<routing::routing_table const> m_table;
    kernel::monotonic_time m_ticked_at;
    /// Names of the customers that have their own metric labels.
    std::unordered_set<std::string> m_labelled;
};

} // namespace pistachiohub::gateway
