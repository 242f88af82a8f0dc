#include "plugins/gateway/server_table.hpp"

#include "plugins/gateway/affinity.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiohub::gateway
{

namespace
{

// Time in which the reported load of other daemons loses half of its weight. Requests take a few
// tenths of a second, so an older report says little.
constexpr std::chrono::duration<double> report_half_life{0.5};
// Pause after the first failure of a server; doubles with each further one.
constexpr auto first_pause = std::chrono::milliseconds(50);
// The same for a server that cannot be reached: the attempt cost a caller its patience, and a
// process that ended is back after seconds, if at all.
constexpr auto first_unreachable_pause = std::chrono::milliseconds(800);
constexpr auto longest_pause = std::chrono::milliseconds(1600);
constexpr unsigned most_doublings = 5;

kernel::duration pause_after(server_table const& table, server_failure cause, unsigned failures)
{
    switch (cause)
    {
    // By then the registration has lapsed. A new start of the server has a new one, without a
    // pause.
    case server_failure::replaced:
        return table.entry_lapse;
    case server_failure::unreachable:
        return std::min<kernel::duration>(first_unreachable_pause * (1U << failures),
                                          longest_pause);
    case server_failure::request_failed:
        break;
    }
    return std::min<kernel::duration>(first_pause * (1U << failures), longest_pause);
}

distance distance_of(server_table const& table, fleet::backend_server const& record)
{
    if (record.failure_domain == table.own_domain)
        return distance::same_domain;
    auto const found = table.region_of_domain.find(record.failure_domain);
    bool const is_own_region =
        found != table.region_of_domain.end() && found->second == table.own_region;
    return is_own_region ? distance::same_region : distance::other_region;
}

void remove_from_service(server_table& table, server_pointer const& server)
{
    auto const found = table.by_service.find(server->record.service);
    if (found == table.by_service.end())
        return;
    std::erase(found->second, server);
    if (found->second.empty())
        table.by_service.erase(found);
}

void drop(server_table& table, std::string const& id, table_change& change)
{
    auto const found = table.servers.find(id);
    if (found == table.servers.end())
        return;
    found->second->is_gone = true;
    remove_from_service(table, found->second);
    table.by_hash.erase(found->second->hash);
    table.servers.erase(found);
    change.lost.push_back(id);
}

void add(server_table& table, fleet::backend_server const& record, table_change& change)
{
    auto server = std::make_shared<known_server>();
    server->record = record;
    server->hash = hash_text(record.id);
    server->how_far = distance_of(table, record);
    auto const region = table.region_of_domain.find(record.failure_domain);
    if (region != table.region_of_domain.end())
        server->region = region->second;
    table.servers.emplace(record.id, server);
    table.by_hash.emplace(server->hash, server);
    table.by_service[record.service].push_back(server);
    change.added.push_back(record.id);
}

bool is_other_process(known_server const& server, fleet::backend_server const& record)
{
    return server.record.started_at_ms != record.started_at_ms ||
           server.record.service != record.service || server.record.address != record.address;
}

void upsert(server_table& table,
            events::change<fleet::backend_server> const& read,
            table_change& change,
            kernel::monotonic_time now)
{
    auto const& record = *read.record;
    auto found = table.servers.find(record.id);
    if (found != table.servers.end() && is_other_process(*found->second, record))
    {
        drop(table, record.id, change);
        found = table.servers.end();
    }
    if (found == table.servers.end())
    {
        add(table, record, change);
        found = table.servers.find(record.id);
    }
    auto& server = *found->second;
    if (record.is_leaving && !server.record.is_leaving)
        change.lost.push_back(record.id);
    server.record = record;
    server.version = read.version;
    server.cold_until = now + record.cold_remaining;
    server.missing_since.reset();
}

bool is_in_grace(server_table const& table, kernel::monotonic_time now)
{
    return table.store_regained_at && now - *table.store_regained_at < lapsed_entry_grace;
}

void lose(server_table& table,
          std::string const& id,
          table_change& change,
          kernel::monotonic_time now)
{
    auto const found = table.servers.find(id);
    if (found == table.servers.end())
        return;
    if (!is_in_grace(table, now))
        return drop(table, id, change);
    if (!found->second->missing_since)
        found->second->missing_since = now;
}

} // namespace

table_change apply(server_table& table,
                   events::store_update<fleet::backend_server> const& update,
                   kernel::monotonic_time now)
{
    table_change change;
    std::set<std::string_view> present;
    for (auto const& read : update.changes)
    {
        if (!read.record)
        {
            lose(table, read.name, change, now);
            continue;
        }
        upsert(table, read, change, now);
        present.insert(read.name);
    }
    if (!update.is_complete)
        return change;
    table.has_list = true;
    std::vector<std::string> missing;
    for (auto const& [id, server] : table.servers)
    {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (auto const& id : missing)
        lose(table, id, change, now);
    return change;
}

void apply_contact(server_table& table, bool is_reachable, kernel::monotonic_time now)
{
    if (is_reachable)
        table.store_regained_at = now;
}

void apply(server_table& table, events::store_update<events::evacuation> const& update)
{
    if (update.is_complete)
        table.evacuated_domains.clear();
    for (auto const& read : update.changes)
    {
        if (read.record)
            table.evacuated_domains.insert(read.name);
        else
            table.evacuated_domains.erase(read.name);
    }
}

std::vector<std::string> expire_missing(server_table& table, kernel::monotonic_time now)
{
    table_change change;
    if (is_in_grace(table, now))
        return change.lost;
    std::vector<std::string> missing;
    for (auto const& [id, server] : table.servers)
    {
        if (server->missing_since)
            missing.push_back(id);
    }
    for (auto const& id : missing)
        drop(table, id, change);
    return change.lost;
}

std::span<server_pointer const> servers_of(server_table const& table, std::string_view service)
{
    auto const found = table.by_service.find(service);
    if (found == table.by_service.end())
        return {};
    return found->second;
}

bool is_usable(server_table const& table, known_server const& server)
{
    return !server.is_gone && !server.record.is_leaving &&
           !table.evacuated_domains.contains(server.record.failure_domain);
}

double estimated_load(known_server const& server, kernel::monotonic_time now)
{
    std::chrono::duration<double> const age = now - server.report.at;
    return server.own_running +
           server.report.others * std::exp2(-age.count() / report_half_life.count());
}

bool has_room(known_server const& server, kernel::monotonic_time now, double queue_per_slot)
{
    // The decayed part of the estimate is rarely whole; half a request counts as none.
    return estimated_load(server, now) + 0.5 <= server.record.slots * (1 + queue_per_slot);
}

double
expected_wait_seconds(known_server const& server, double run_seconds, kernel::monotonic_time now)
{
    auto const slots = static_cast<double>(std::max<std::uint32_t>(server.record.slots, 1));
    auto const ahead = std::max(0.0, estimated_load(server, now) + 1 - slots) + server.own_waiting;
    return ahead * run_seconds / slots;
}

void record_load(known_server& server, double total, kernel::monotonic_time now)
{
    server.report = {std::max(0.0, total - server.own_running),
                     static_cast<std::uint32_t>(total),
                     now,
                     now,
                     true};
}

void record_shared_load(known_server& server,
                        std::uint32_t total,
                        kernel::monotonic_time at,
                        kernel::monotonic_time now)
{
    auto const others = std::max(0.0, static_cast<double>(total) - server.own_running);
    server.report = {others, total, at, now, false};
}

void record_failure(server_table const& table,
                    known_server& server,
                    server_failure cause,
                    kernel::monotonic_time now)
{
    auto const pause = pause_after(table, cause, std::min(server.failures_in_row, most_doublings));
    ++server.failures_in_row;
    server.avoided_until = std::max(server.avoided_until, now + pause);
}

void record_success(known_server& server)
{
    server.failures_in_row = 0;
}

} // namespace pistachiohub::gateway
