#include "plugins/gateway/entry_hosts.hpp"

#include "plugins/gateway/directory_choice.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace pistachiohub::gateway
{

namespace
{

template<class Matches>
std::vector<host_candidate>
find_candidates(host_table const& table, kernel::monotonic_time now, Matches&& matches)
{
    std::vector<host_candidate> found;
    if (table.is_own_ready && !table.own.is_leaving && matches(table.own))
        found.push_back({table.own.capacity, table.own.callers});
    for (auto const& [name, host] : table.hosts)
    {
        if (is_live(table, host, now) && matches(host.record))
            found.push_back({host.record.capacity, host.record.callers});
    }
    return found;
}

bool is_new_report(known_host const& known, fleet::entry_host const& record)
{
    return known.record.incarnation != record.incarnation || known.record.report != record.report;
}

// A store that was restored from an older copy lists earlier reports of known hosts.
bool is_older_report(known_host const& known, fleet::entry_host const& record)
{
    return std::tie(record.incarnation, record.report) <
           std::tie(known.record.incarnation, known.record.report);
}

void mark_unlisted(host_table& table, events::store_update<fleet::entry_host> const& update)
{
    for (auto& [name, host] : table.hosts)
        host.is_missing = std::none_of(update.changes.begin(),
                                       update.changes.end(),
                                       [&name = name](auto const& item)
                                       {
                                           return item.record && item.name == name;
                                       });
}

// Erases missing hosts: all, or only those that have been silent.
void erase_missing(host_table& table, kernel::monotonic_time now, bool erases_all)
{
    std::erase_if(table.hosts,
                  [now, erases_all](auto const& entry)
                  {
                      return entry.second.is_missing &&
                             (erases_all || now - entry.second.reported_at >= share_timeout);
                  });
}

using host_group = std::vector<fleet::entry_host const*>;

/// This host and the others that may read the store for it, by failure domain and by region.
struct host_groups
{
    std::map<std::string_view, host_group> by_domain;
    std::map<std::string_view, host_group> by_region;
};

/// @returns whether the host may read the store for others.
bool may_be_reader(host_table const& table, known_host const& host, kernel::monotonic_time now)
{
    if (host.record.relay_port == 0)
        return false;
    bool const is_new = !host.is_confirmed && !host.is_missing && !host.record.is_leaving;
    bool const has_started = table.is_loaded && now - table.loaded_at < host_timeout;
    return is_live(table, host, now) || (is_new && has_started);
}

host_groups make_groups(host_table const& table, kernel::monotonic_time now)
{
    host_group all{&table.own};
    for (auto const& [name, host] : table.hosts)
    {
        if (may_be_reader(table, host, now))
            all.push_back(&host.record);
    }
    std::sort(all.begin(),
              all.end(),
              [](fleet::entry_host const* left, fleet::entry_host const* right)
              {
                  return std::tie(left->failure_domain, left->name) <
                         std::tie(right->failure_domain, right->name);
              });
    host_groups groups;
    for (auto const* const host : all)
    {
        groups.by_domain[host->failure_domain].push_back(host);
        groups.by_region[host->region].push_back(host);
    }
    return groups;
}

/// @returns the first of the hosts with the greatest capacity.
fleet::entry_host const& greatest_of(std::span<fleet::entry_host const* const> hosts)
{
    return **std::max_element(hosts.begin(),
                              hosts.end(),
                              [](fleet::entry_host const* left, fleet::entry_host const* right)
                              {
                                  return left->capacity < right->capacity;
                              });
}

/// @returns whether one host reads for the region. A failure domain that needs several readers
/// keeps them.
bool has_one_reader(host_groups const& groups, host_group const& region)
{
    return region.size() <= max_region_group_size &&
           greatest_of(region).capacity >= min_region_reader_capacity &&
           std::all_of(region.begin(),
                       region.end(),
                       [&groups](fleet::entry_host const* host)
                       {
                           return groups.by_domain.at(host->failure_domain).size() <=
                                  max_hosts_per_reader;
                       });
}

/// @returns the reader of the group of `host`, which is one of the hosts of `groups`.
fleet::entry_host const& reader_of(host_groups const& groups, fleet::entry_host const& host)
{
    auto const& in_domain = groups.by_domain.at(host.failure_domain);
    auto const& in_region = groups.by_region.at(host.region);
    if (has_one_reader(groups, in_region))
        return greatest_of(in_region);
    auto const& group = in_domain.size() < min_domain_group_size ? in_region : in_domain;
    auto const own = std::find(group.begin(), group.end(), &host) - group.begin();
    auto const first =
        group.begin() + (own - own % static_cast<std::ptrdiff_t>(max_hosts_per_reader));
    auto const last =
        first + std::min(static_cast<std::ptrdiff_t>(max_hosts_per_reader), group.end() - first);
    return greatest_of({first, last});
}

// A host that reads the store for followers lists them in its report, which confirms that they
// live.
void confirm_followers(host_table& table,
                       fleet::entry_host const& reader,
                       kernel::monotonic_time now)
{
    for (auto const& follower : reader.followers)
    {
        auto const found = table.hosts.find(follower.name);
        if (found == table.hosts.end() || found->second.record.incarnation != follower.incarnation)
            continue;
        found->second.is_confirmed = true;
        found->second.reported_at = now;
    }
}

} // namespace

void apply(host_table& table,
           events::store_update<fleet::entry_host> const& update,
           kernel::monotonic_time now)
{
    if (update.is_complete)
    {
        if (!std::exchange(table.is_loaded, true))
            table.loaded_at = now;
        mark_unlisted(table, update);
    }
    // A host that the copy of a restored store lacks still uses its share of the budgets.
    erase_missing(table, now, update.is_complete && !update.is_restored);
    for (auto const& item : update.changes)
    {
        if (item.name == table.own.name)
        {
            if (item.record && !update.is_complete)
                confirm_followers(table, *item.record, now);
            continue;
        }
        if (!item.record)
        {
            table.hosts.erase(item.name);
            continue;
        }
        auto& host = table.hosts[item.name];
        host.is_missing = false;
        if (update.is_restored && is_older_report(host, *item.record))
            continue;
        if (is_new_report(host, *item.record))
        {
            if (!update.is_complete)
                confirm_followers(table, *item.record, now);
            // A complete list may hold objects of hosts that are gone. Only a change shows that the
            // host has written recently.
            host.is_confirmed = !update.is_complete || host.record.report > 0;
            host.reported_at = now;
        }
        host.record = *item.record;
    }
}

void apply_store_state(host_table& table, bool is_reachable, kernel::monotonic_time now)
{
    if (is_reachable && !table.is_store_reachable)
        table.reachable_since = now;
    table.is_store_reachable = is_reachable;
}

bool is_live(host_table const& table, known_host const& host, kernel::monotonic_time now)
{
    if (host.record.is_leaving || !host.is_confirmed)
        return false;
    auto const last_heard_at = std::max(host.reported_at, table.reachable_since);
    return !table.is_store_reachable || now - last_heard_at < host_timeout;
}

std::vector<std::string> budget_sharing_hosts(host_table const& table, kernel::monotonic_time now)
{
    std::vector<std::string> names;
    if (!table.is_loaded)
        return names;
    names.push_back(table.own.name);
    for (auto const& [name, host] : table.hosts)
    {
        auto const last_heard_at = std::max(host.reported_at, table.reachable_since);
        if (!table.is_store_reachable || now - last_heard_at < share_timeout)
            names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<std::string> select_hosts_in_region(host_table const& table,
                                                std::span<std::string const> names,
                                                std::string_view region)
{
    std::vector<std::string> selected;
    for (auto const& name : names)
    {
        auto const found = table.hosts.find(name);
        auto const& record = found == table.hosts.end() ? table.own : found->second.record;
        if (record.name == name && record.region == region)
            selected.push_back(name);
    }
    return selected;
}

fleet::relay_choice choose_relay(host_table const& table, kernel::monotonic_time now)
{
    auto const& reader = reader_of(make_groups(table, now), table.own);
    if (&reader == &table.own)
        return {};
    return {reader.name, {reader.callers.address, reader.relay_port}};
}

std::vector<fleet::relay_choice> other_readers(host_table const& table, kernel::monotonic_time now)
{
    auto const groups = make_groups(table, now);
    std::set<fleet::entry_host const*> readers;
    for (auto const& [domain, hosts] : groups.by_domain)
    {
        for (auto const* const host : hosts)
            readers.insert(&reader_of(groups, *host));
    }
    std::vector<fleet::relay_choice> others;
    for (auto const* const reader : readers)
    {
        if (reader != &table.own)
            others.push_back({reader->name, {reader->callers.address, reader->relay_port}});
    }
    return others;
}

double fraction_of_hosts_in_region(host_table const& table, std::size_t regions)
{
    if (!table.is_loaded)
        return 1.0 / static_cast<double>(std::max<std::size_t>(regions, 1));
    std::size_t total = 1;
    std::size_t in_region = 1;
    for (auto const& [name, host] : table.hosts)
    {
        if (host.record.is_leaving)
            continue;
        ++total;
        in_region += host.record.region == table.own.region ? 1 : 0;
    }
    return static_cast<double>(in_region) / static_cast<double>(total);
}

std::vector<kernel::endpoint> choose_entry_hosts(host_table const& table,
                                                 std::string_view region,
                                                 std::string_view failure_domain,
                                                 bool is_by_capacity,
                                                 kernel::monotonic_time now)
{
    auto found = find_candidates(table,
                                 now,
                                 [failure_domain](fleet::entry_host const& host)
                                 {
                                     return host.failure_domain == failure_domain;
                                 });
    if (found.empty())
        found = find_candidates(table,
                                now,
                                [region](fleet::entry_host const& host)
                                {
                                    return host.region == region;
                                });
    if (found.empty())
        found = find_candidates(table,
                                now,
                                [](fleet::entry_host const&)
                                {
                                    return true;
                                });
    if (is_by_capacity)
        found = select_by_capacity(std::move(found));
    std::vector<kernel::endpoint> selected;
    for (auto const& host : found)
        selected.push_back(host.callers);
    selected.resize(std::min(selected.size(), max_listed_hosts));
    return selected;
}

} // namespace pistachiohub::gateway
