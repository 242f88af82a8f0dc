#include "plugins/membership/order_table.hpp"

#include "libraries/view/rendezvous.hpp"
#include "plugins/lookup/lookup.hpp"

#include <algorithm>
#include <numeric>
#include <string>

namespace pistachiohub::membership
{

namespace
{

static_assert(entries_in_order == lookup::max_entry_hosts);

using indices = std::vector<view::index>;

/// What all orders are made from.
struct sources
{
    configuration::configuration const& document;
    std::span<view::entry_host const> entry_hosts;
    /// Usable hosts of each failure domain.
    std::vector<indices> usable_hosts;
};

std::vector<indices> group_usable_hosts(configuration::configuration const& document,
                                        std::span<view::entry_host const> entry_hosts)
{
    std::vector<indices> groups(document.failure_domains.size());
    for (view::index position = 0; position < entry_hosts.size(); ++position)
    {
        auto const& host = entry_hosts[position];
        bool const is_usable = host.state == view::member_state::live && host.caller_port != 0 &&
                               host.incarnation != 0 && host.failure_domain < groups.size();
        if (is_usable)
            groups[host.failure_domain].push_back(position);
    }
    return groups;
}

indices sort_by_weight(sources const& from, indices const& hosts, std::uint64_t seed)
{
    std::vector<std::pair<std::uint64_t, view::index>> weighted;
    weighted.reserve(hosts.size());
    for (auto const host : hosts)
        weighted.emplace_back(view::rendezvous_weight(seed, from.entry_hosts[host].name), host);
    std::sort(weighted.rbegin(), weighted.rend());
    indices sorted;
    sorted.reserve(hosts.size());
    for (auto const& [weight, host] : weighted)
        sorted.push_back(host);
    return sorted;
}

indices hosts_of_region(sources const& from, std::string_view region, std::size_t except_domain)
{
    indices hosts;
    auto const& domains = from.document.failure_domains;
    for (std::size_t domain = 0; domain < domains.size(); ++domain)
    {
        if (domain != except_domain && domains[domain].region == region)
            hosts.insert(
                hosts.end(), from.usable_hosts[domain].begin(), from.usable_hosts[domain].end());
    }
    return hosts;
}

/// Regions after the own one, in order of preference.
std::vector<std::string_view>
other_regions(sources const& from, configuration::policy const& policy, std::string_view own_region)
{
    std::vector<std::string_view> regions(policy.regions.begin(), policy.regions.end());
    if (regions.empty())
    {
        for (auto const& domain : from.document.failure_domains)
            regions.emplace_back(domain.region);
        std::sort(regions.begin(), regions.end());
        regions.erase(std::unique(regions.begin(), regions.end()), regions.end());
    }
    std::erase(regions, own_region);
    return regions;
}

/// Hosts that follow those of `domain`.
indices make_tail(sources const& from,
                  configuration::service const& service,
                  std::size_t domain,
                  std::size_t most,
                  std::uint64_t seed)
{
    auto const& region = from.document.failure_domains[domain].region;
    auto tail = sort_by_weight(from, hosts_of_region(from, region, domain), seed);
    for (auto const& other : other_regions(from, service.steering_policy, region))
    {
        if (tail.size() >= most)
            break;
        auto const hosts = sort_by_weight(from, hosts_of_region(from, other, domain), seed);
        tail.insert(tail.end(), hosts.begin(), hosts.end());
    }
    tail.resize(std::min(tail.size(), most));
    return tail;
}

/// A ring in which every host begins one order.
indices make_ring(indices hosts)
{
    auto const size = hosts.size();
    for (std::size_t position = 0; position + 1 < entries_in_order; ++position)
        hosts.push_back(hosts[position % size]);
    return hosts;
}

indices make_rotations(indices const& local, indices const& tail)
{
    indices orders;
    for (std::size_t start = 0; start < local.size(); ++start)
    {
        for (std::size_t step = 0; step < local.size(); ++step)
            orders.push_back(local[(start + step) % local.size()]);
        orders.insert(orders.end(), tail.begin(), tail.end());
        orders.resize((start + 1) * entries_in_order, view::no_index);
    }
    return orders;
}

} // namespace

order_tables make_order_tables(configuration::configuration const& document,
                               std::span<view::entry_host const> entry_hosts)
{
    sources const from{document, entry_hosts, group_usable_hosts(document, entry_hosts)};
    order_tables tables;
    for (auto const& service : document.services)
    {
        for (std::size_t domain = 0; domain < document.failure_domains.size(); ++domain)
        {
            auto const key = service.name + '/' + document.failure_domains[domain].name;
            auto const seed = view::rendezvous_seed(key);
            auto const local = sort_by_weight(from, from.usable_hosts[domain], seed);
            auto const starts = std::max<std::size_t>(local.size(), 1);
            tables.entry_host_order_starts.push_back(static_cast<std::uint32_t>(starts));
            if (local.size() >= entries_in_order)
            {
                tables.entry_host_order.push_back(make_ring(local));
                continue;
            }
            auto const tail =
                make_tail(from, service, domain, entries_in_order - local.size(), seed);
            tables.entry_host_order.push_back(local.empty() ? tail : make_rotations(local, tail));
        }
    }
    return tables;
}

std::vector<view::index> sort_by_name(std::span<view::entry_host const> entry_hosts)
{
    indices sorted(entry_hosts.size());
    std::iota(sorted.begin(), sorted.end(), 0U);
    std::sort(sorted.begin(),
              sorted.end(),
              [&entry_hosts](view::index left, view::index right)
              {
                  return entry_hosts[left].name < entry_hosts[right].name;
              });
    return sorted;
}

} // namespace pistachiohub::membership
