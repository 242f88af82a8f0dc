#include "plugins/membership/members.hpp"

#include <algorithm>

namespace pistachiohub::membership
{

namespace
{

member& find_or_add(member_table& table, std::string_view name, kernel::monotonic_time now)
{
    auto* const known = find_member(table, name);
    if (known != nullptr)
        return *known;
    table.positions.emplace(std::string(name), table.members.size());
    auto& added = table.members.emplace_back();
    added.name = name;
    added.known_since = now;
    return added;
}

void start_incarnation(member& host, std::uint64_t incarnation, kernel::monotonic_time now)
{
    host.incarnation = incarnation;
    host.epoch = 0;
    host.configuration_version = 0;
    host.credits.clear();
    host.is_leaving = false;
    host.changed_at = now;
}

void set_listed_leaving(member& host, bool is_leaving)
{
    if (is_leaving && !host.is_listed_leaving)
        host.leaving_incarnation = host.incarnation;
    host.is_listed_leaving = is_leaving;
}

/// @returns true if the host is now known to leave and was not before.
bool note_leaving(member& host, bool is_leaving, kernel::monotonic_time now)
{
    // A drain is never undone within an incarnation, so an older message cannot revert it.
    if (!is_leaving || host.is_leaving)
        return false;
    host.is_leaving = true;
    host.changed_at = now;
    return true;
}

} // namespace

member* find_member(member_table& table, std::string_view name)
{
    auto const found = table.positions.find(std::string(name));
    return found == table.positions.end() ? nullptr : &table.members[found->second];
}

void add_seeds(member_table& table,
               std::vector<kernel::seed_peer> const& seeds,
               kernel::monotonic_time now)
{
    for (auto const& seed : seeds)
    {
        if (seed.name == table.own_name)
            continue;
        auto& host = find_or_add(table, seed.name, now);
        host.failure_domain = seed.failure_domain;
        host.address = seed.address;
        host.peer_port = seed.peer_port;
        host.is_seed = true;
    }
}

void apply_host_list(member_table& table,
                     events::host_list_received const& list,
                     kernel::monotonic_time now)
{
    for (auto& host : table.members)
    {
        if (host.failure_domain == list.failure_domain)
            host.is_listed = false;
    }
    for (auto const& listed : list.entry_hosts)
    {
        if (listed.name == table.own_name)
            continue;
        auto& host = find_or_add(table, listed.name, now);
        host.failure_domain = list.failure_domain;
        host.address = listed.address;
        host.caller_port = listed.caller_port;
        host.peer_port = listed.peer_port;
        host.is_listed = true;
        set_listed_leaving(host, listed.is_leaving);
    }
}

change apply_heard(member_table& table, events::peer_heard const& heard, kernel::monotonic_time now)
{
    auto* const host = find_member(table, heard.sender);
    if (host == nullptr || heard.incarnation < host->incarnation)
        return change::none;
    auto result = host->is_heard ? change::none : change::major;
    if (heard.incarnation > host->incarnation)
    {
        start_incarnation(*host, heard.incarnation, now);
        result = change::major;
    }
    if (heard.configuration_version != host->configuration_version)
    {
        host->configuration_version = heard.configuration_version;
        result = std::max(result, change::minor);
    }
    host->is_heard = true;
    host->heard_at = now;
    if (!heard.beat)
        return result;
    if (heard.beat->epoch > host->epoch)
    {
        host->epoch = heard.beat->epoch;
        result = std::max(result, change::minor);
    }
    if (note_leaving(*host, heard.beat->is_leaving, now))
        result = change::major;
    bool const has_credits = !heard.beat->credits.empty() || !host->credits.empty();
    host->credits = heard.beat->credits;
    host->credits_expire_at = now + credit_time;
    return has_credits ? change::major : result;
}

change apply_summary(member_table& table,
                     messages::member_summary const& summary,
                     kernel::monotonic_time now)
{
    auto* const host = find_member(table, summary.name);
    if (host == nullptr || summary.incarnation < host->incarnation)
        return change::none;
    auto result = change::none;
    auto const alive_at = now - std::chrono::milliseconds(summary.age_ms);
    bool const is_new_incarnation = summary.incarnation > host->incarnation;
    if (is_new_incarnation)
    {
        start_incarnation(*host, summary.incarnation, now);
        result = change::major;
    }
    if (!host->is_heard || is_new_incarnation || alive_at > host->heard_at)
    {
        host->heard_at = alive_at;
        host->is_heard = true;
    }
    if (summary.epoch > host->epoch)
    {
        host->epoch = summary.epoch;
        result = std::max(result, change::minor);
    }
    if (note_leaving(*host, summary.is_leaving, now))
        result = change::major;
    return result;
}

void drop_states(member_table& table, kernel::monotonic_time now)
{
    for (auto& host : table.members)
    {
        host.is_heard = false;
        host.known_since = now;
        host.credits.clear();
    }
}

bool remove_unlisted(member_table& table)
{
    auto const removed = std::erase_if(table.members,
                                       [](member const& host)
                                       {
                                           return !host.is_listed && !host.is_seed &&
                                                  host.state == view::member_state::silent;
                                       });
    if (removed == 0)
        return false;
    table.positions.clear();
    for (std::size_t position = 0; position < table.members.size(); ++position)
        table.positions.emplace(table.members[position].name, position);
    return true;
}

} // namespace pistachiohub::membership
