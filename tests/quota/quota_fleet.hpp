#pragma once

/// @file
/// A simulated fleet of hosts that share the quotas of customers, in simulated time.

#include "plugins/quota/quota.hpp"

#include <functional>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace pistachiohub::quota_test
{

/// What happens to some of the hosts.
enum class fault
{
    none,
    /// They get and send no datagrams.
    cut_off,
    /// They end, and start again 2 s later.
    restarted,
    /// They and their clocks stand still, without their callers, who go to other hosts.
    suspended
};

/// The fleet, its load, and the faults.
struct fleet_plan
{
    std::size_t hosts = 60;
    quota::design parts;
    /// Demand of all customers, as a part of their limits.
    double usual_use = 1 / 1.6;
    /// Factor by which the demand of a customer rises for a time; -1 for all customers.
    double jump = 1;
    int jumping_customer = 0;
    double jump_at = 8;
    double jump_seconds = 6;
    /// Whether the requests of the jumping customer then arrive at one host.
    bool jumps_at_one_host = false;
    fault kind = fault::none;
    /// Part of the hosts that it affects; those of the first groups, with their readers.
    double faulty_part = 0.2;
    double fault_at = 9;
    double fault_seconds = 5;
    /// Factor of all limits from `limits_change_at`.
    double limit_factor = 1;
    double limits_change_at = 11;
    double length = 20;
    double traffic_begins = 3;
};

/// Results of all customers.
struct fleet_result
{
    /// Largest number of requests above the bound in any window; 0 or less if the bound holds.
    double largest_excess = -1e9;
    /// Smallest part of the limit that was used in any window of the jump, over all customers that
    /// jumped.
    double least_use = 1e9;
    /// Requests, and refused ones, of customers that did not jump.
    std::size_t usual_requests = 0;
    std::size_t usual_refusals = 0;
    /// Worst part of refused requests of one such customer.
    double worst_refused_part = 0;
    /// Part of the limit of one host that the cut-off hosts used.
    double use_of_cut_off = 0;
    /// Requests owed to customers: in each of consecutive windows, one of which begins with the
    /// jump, the smaller of what a customer demanded and what it is entitled to.
    double owed = 0;
    /// Part of the owed requests that was refused.
    double owed_refused = 0;
};

/// Plays the plan. All delays, losses and arrivals are drawn from the seed.
[[nodiscard]] fleet_result play(fleet_plan const& plan, unsigned seed);

} // namespace pistachiohub::quota_test
