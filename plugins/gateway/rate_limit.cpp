#include "plugins/gateway/rate_limit.hpp"

#include "plugins/gateway/cold_allowance.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pistachiohub::gateway
{

namespace
{

using seconds_value = std::chrono::duration<double>;

// Part of a limit that is used. The rest covers requests that arrive closer together than they were
// sent.
constexpr double used_part = 0.95;
// Rate of the checks of all daemons together, as part of the limit and at least in checks a second.
// Without the least rate nobody would learn that a limit of 0 has ended.
constexpr double check_part = 0.1;
constexpr double least_check_rate = 0.25;
// Hosts that are assumed to check while the hosts are unknown.
constexpr double assumed_hosts = 100;
// Requests of all daemons that may be sent at once after a time without demand: this many seconds
// of the limit, and these besides.
constexpr double burst_seconds = 2;
constexpr double extra_burst = 2;
// Time of its own share that one daemon may send at once.
constexpr double max_own_burst_seconds = 0.5;
constexpr double least_own_burst = 1.5;
// Time in which a check that is due may be sent. Without a request in this time it is put off, so
// that daemons do not gather checks that they would send at the same moment.
constexpr auto check_window = std::chrono::seconds(1);

kernel::duration to_duration(double seconds)
{
    return std::chrono::duration_cast<kernel::duration>(seconds_value(seconds));
}

limit_share checks_only(double check_rate, double hosts)
{
    limit_share share;
    share.check_interval = to_duration(hosts / check_rate);
    return share;
}

double permitted_at(rate_limit const& limit, kernel::monotonic_time now)
{
    auto const elapsed = seconds_value(now - limit.permitted_at).count();
    return std::min(limit.permitted + elapsed * limit.share.requests_per_second, limit.share.burst);
}

bool is_check_due(rate_limit const& limit, kernel::monotonic_time now)
{
    return limit.share.check_interval > kernel::duration{} && now >= limit.check_at &&
           now < limit.check_at + check_window;
}

} // namespace

limit_share share_limit(double limit,
                        std::string const& server_id,
                        std::string const& own,
                        std::span<std::string const> region_hosts,
                        std::span<std::string const> all_hosts)
{
    auto const check_rate = std::max(check_part * limit, least_check_rate);
    if (all_hosts.empty())
        return checks_only(check_rate, assumed_hosts);
    auto const hosts = region_hosts.empty() ? all_hosts : region_hosts;
    auto const total_burst = burst_seconds * limit + extra_burst;
    auto const senders = std::min(static_cast<double>(hosts.size()), std::floor(total_burst));
    auto const checkers = static_cast<double>(all_hosts.size()) - senders;
    auto const total_rate = used_part * limit - (checkers > 0 ? check_rate : 0);
    if (total_rate <= 0)
        return checks_only(check_rate, static_cast<double>(all_hosts.size()));
    bool const is_listed = std::find(hosts.begin(), hosts.end(), own) != hosts.end();
    if (!is_listed || static_cast<double>(daemon_rank_for_server(server_id, own, hosts)) >= senders)
        return checks_only(check_rate, std::max(checkers, 1.0));
    limit_share share;
    share.requests_per_second = total_rate / senders;
    auto const own_burst =
        std::max(max_own_burst_seconds * share.requests_per_second, least_own_burst);
    share.burst = std::clamp(total_burst / senders, 1.0, own_burst);
    return share;
}

void set_share(rate_limit& limit,
               limit_share const& share,
               kernel::monotonic_time now,
               std::function<double()> const& random)
{
    limit.permitted = permitted_at(limit, now);
    limit.permitted_at = now;
    bool const is_new_interval = share.check_interval != limit.share.check_interval;
    limit.share = share;
    if (is_new_interval || now >= limit.check_at + check_window)
        limit.check_at = now + to_duration(random() * seconds_value(share.check_interval).count());
}

bool may_send(rate_limit const& limit, kernel::monotonic_time now)
{
    return permitted_at(limit, now) >= 1 || is_check_due(limit, now);
}

void record_sent(rate_limit& limit,
                 kernel::monotonic_time now,
                 std::function<double()> const& random)
{
    auto const permitted = permitted_at(limit, now);
    limit.permitted_at = now;
    limit.permitted = std::max(permitted - 1, 0.0);
    if (permitted >= 1 || !is_check_due(limit, now))
        return;
    auto const interval = seconds_value(limit.share.check_interval).count();
    limit.check_at = now + check_window + to_duration((0.5 + random()) * interval);
}

double seconds_until_permitted(rate_limit const& limit, kernel::monotonic_time now)
{
    auto const missing = 1 - permitted_at(limit, now);
    if (missing <= 0)
        return 0;
    if (limit.share.requests_per_second <= 0)
        return std::numeric_limits<double>::infinity();
    return missing / limit.share.requests_per_second;
}

} // namespace pistachiohub::gateway
