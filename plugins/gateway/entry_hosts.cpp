#include "plugins/gateway/entry_hosts.hpp"

#include <algorithm>
#include <tuple>

namespace pistachiohub::gateway
{

namespace
{

template<class Matches>
std::vector<kernel::endpoint>
select(host_table const& table, kernel::monotonic_time now, Matches&& matches)
{
    std::vector<kernel::endpoint> selected;
    if (table.is_own_ready && !table.own.is_leaving && matches(table.own))
        selected.push_back(table.own.callers);
    for (auto const& [name, host] : table.hosts)
    {
        if (is_live(table, host, now) && matches(host.record))
            selected.push_back(host.record.callers);
    }
    return selected;
}

bool is_new_report(known_host const& known, fleet::entry_host const& read)
{
    return known.record.incarnation != read.incarnation || known.record.report != read.report;
}

/// @returns this host and the live ones with the same value of `place` that pass on what they read.
std::vector<fleet::entry_host const*> select_group(host_table const& table,
                                                   kernel::monotonic_time now,
                                                   std::string fleet::entry_host::*place)
{
    std::vector<fleet::entry_host const*> group{&table.own};
    for (auto const& [name, host] : table.hosts)
    {
        if (host.record.*place == table.own.*place && host.record.relay_port != 0 &&
            is_live(table, host, now))
            group.push_back(&host.record);
    }
    return group;
}

// A host that reads the store for others reports them as well.
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
        table.has_list = true;
        std::erase_if(table.hosts,
                      [&update](auto const& entry)
                      {
                          return std::none_of(update.changes.begin(),
                                              update.changes.end(),
                                              [&entry](auto const& read)
                                              {
                                                  return read.record && read.name == entry.first;
                                              });
                      });
    }
    for (auto const& read : update.changes)
    {
        if (read.name == table.own.name)
        {
            if (read.record && !update.is_complete)
                confirm_followers(table, *read.record, now);
            continue;
        }
        if (!read.record)
        {
            table.hosts.erase(read.name);
            continue;
        }
        auto& host = table.hosts[read.name];
        if (is_new_report(host, *read.record))
        {
            if (!update.is_complete)
                confirm_followers(table, *read.record, now);
            // A list shows what lies in the store; only a change shows that somebody wrote now.
            host.is_confirmed = !update.is_complete || host.record.report > 0;
            host.reported_at = now;
        }
        host.record = *read.record;
    }
}

void apply_contact(host_table& table, bool is_reachable, kernel::monotonic_time now)
{
    if (is_reachable && !table.is_store_reachable)
        table.reachable_since = now;
    table.is_store_reachable = is_reachable;
}

bool is_live(host_table const& table, known_host const& host, kernel::monotonic_time now)
{
    if (host.record.is_leaving || !host.is_confirmed)
        return false;
    auto const silent_since = std::max(host.reported_at, table.reachable_since);
    return !table.is_store_reachable || now - silent_since < host_silence;
}

std::vector<std::string> sharing_hosts(host_table const& table, kernel::monotonic_time now)
{
    std::vector<std::string> names;
    if (!table.has_list)
        return names;
    names.push_back(table.own.name);
    for (auto const& [name, host] : table.hosts)
    {
        auto const silent_since = std::max(host.reported_at, table.reachable_since);
        if (!table.is_store_reachable || now - silent_since < share_silence)
            names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

fleet::relay_choice choose_relay(host_table const& table, kernel::monotonic_time now)
{
    auto group = select_group(table, now, &fleet::entry_host::failure_domain);
    if (group.size() < fewest_of_domain)
        group = select_group(table, now, &fleet::entry_host::region);
    auto const comes_before = [](fleet::entry_host const* left, fleet::entry_host const* right)
    {
        return std::tie(left->failure_domain, left->name) <
               std::tie(right->failure_domain, right->name);
    };
    std::sort(group.begin(), group.end(), comes_before);
    auto const own = std::find(group.begin(), group.end(), &table.own) - group.begin();
    auto const position = static_cast<std::size_t>(own);
    auto const& reader = *group[position - position % hosts_of_one_reader];
    if (&reader == &table.own)
        return {};
    return {reader.name, {reader.callers.address, reader.relay_port}};
}

double part_of_hosts_in_region(host_table const& table, std::size_t regions)
{
    if (!table.has_list)
        return 1.0 / static_cast<double>(std::max<std::size_t>(regions, 1));
    std::size_t all = 1;
    std::size_t near = 1;
    for (auto const& [name, host] : table.hosts)
    {
        if (host.record.is_leaving)
            continue;
        ++all;
        near += host.record.region == table.own.region ? 1 : 0;
    }
    return static_cast<double>(near) / static_cast<double>(all);
}

std::vector<kernel::endpoint> choose_entry_hosts(host_table const& table,
                                                 std::string_view region,
                                                 std::string_view failure_domain,
                                                 kernel::monotonic_time now)
{
    auto selected = select(table,
                           now,
                           [failure_domain](fleet::entry_host const& host)
                           {
                               return host.failure_domain == failure_domain;
                           });
    if (selected.empty())
        selected = select(table,
                          now,
                          [region](fleet::entry_host const& host)
                          {
                              return host.region == region;
                          });
    if (selected.empty())
        selected = select(table,
                          now,
                          [](fleet::entry_host const&)
                          {
                              return true;
                          });
    selected.resize(std::min(selected.size(), most_listed_hosts));
    return selected;
}

} // namespace pistachiohub::gateway
