#include "plugins/membership/summaries.hpp"

#include "plugins/membership/roles.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <string_view>

namespace pistachiohub::membership
{

namespace
{

bool is_worth_forwarding(member const& host)
{
    return host.is_heard && host.state != view::member_state::silent;
}

messages::member_summary summarise(member const& host, kernel::monotonic_time now)
{
    auto const age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - host.heard_at).count();
    auto const most = std::int64_t{std::numeric_limits<std::uint32_t>::max()};
    return {host.name,
            host.failure_domain,
            host.incarnation,
            host.epoch,
            host.is_leaving,
            static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, most))};
}

/// @returns for each failure domain the member heard last.
std::vector<member const*> freshest_hosts(member_table const& table)
{
    std::map<std::string_view, member const*> freshest;
    for (auto const& host : table.members)
    {
        if (!is_worth_forwarding(host))
            continue;
        auto& best = freshest[host.failure_domain];
        if (best == nullptr || host.heard_at > best->heard_at)
            best = &host;
    }
    std::vector<member const*> hosts;
    hosts.reserve(freshest.size());
    for (auto const& [domain, host] : freshest)
        hosts.push_back(host);
    return hosts;
}

/// Collects summaries without naming a host twice.
class summary_collector
{
public:
    explicit summary_collector(kernel::monotonic_time now)
        : m_now(now)
    {
    }

    void add(member const& host)
    {
        bool const is_known = std::any_of(m_summaries.begin(),
                                          m_summaries.end(),
                                          [&host](messages::member_summary const& summary)
                                          {
                                              return summary.name == host.name;
                                          });
        if (!is_known && is_worth_forwarding(host))
            m_summaries.push_back(summarise(host, m_now));
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_summaries.size();
    }

    [[nodiscard]] std::vector<messages::member_summary> take()
    {
        return std::move(m_summaries);
    }

private:
    kernel::monotonic_time m_now;
    std::vector<messages::member_summary> m_summaries;
};

void add_news(summary_collector& collector, member_table const& table, kernel::monotonic_time now)
{
    for (auto const& host : table.members)
    {
        if (collector.size() >= most_summaries / 4)
            return;
        bool const is_news =
            host.changed_at != kernel::monotonic_time{} && now - host.changed_at < news_time;
        if (is_news)
            collector.add(host);
    }
}

} // namespace

std::vector<messages::member_summary>
choose_summaries(member_table const& table, summary_cursors& cursors, kernel::monotonic_time now)
{
    summary_collector collector(now);
    add_news(collector, table, now);
    auto const freshest = freshest_hosts(table);
    for (std::size_t step = 0; step < freshest.size() && step < most_summaries / 2; ++step)
        collector.add(*freshest[cursors.domain++ % freshest.size()]);
    auto const& hosts = table.members;
    for (std::size_t step = 0; step < hosts.size() && collector.size() < most_summaries; ++step)
        collector.add(hosts[cursors.host++ % hosts.size()]);
    return collector.take();
}

} // namespace pistachiohub::membership
