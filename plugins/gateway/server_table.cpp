#include "plugins/gateway/server_table.hpp"

#include "plugins/gateway/affinity.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace pistachiohub::gateway
{

namespace
{

// Half-life of the exponential decay that is applied to the reported load of other daemons.
// Requests take a few tenths of a second, so an older report carries little information.
constexpr std::chrono::duration<double> report_half_life{0.5};
// Backoff after the first failure of a server; doubles with each consecutive failure.
constexpr auto initial_backoff = std::chrono::milliseconds(50);
// Backoff after the first failed connection. It is longer because such an attempt delays the
// caller, and a process that ended is restarted only after seconds, if at all.
constexpr auto initial_unreachable_backoff = std::chrono::milliseconds(800);
constexpr auto max_backoff = std::chrono::milliseconds(1600);
constexpr unsigned max_backoff_doublings = 5;

kernel::duration
backoff_duration(server_table const& table, server_failure cause, unsigned failures)
{
    switch (cause)
    {
    // The outdated registration expires within this time. If the server restarts, its new
    // registration is added without backoff.
    case server_failure::replaced:
    case server_failure::crashed:
        return table.registration_ttl;
    case server_failure::unreachable:
        return std::min<kernel::duration>(initial_unreachable_backoff * (1U << failures),
                                          max_backoff);
    case server_failure::request_failed:
        break;
    }
    return std::min<kernel::duration>(initial_backoff * (1U << failures), max_backoff);
}

distance proximity_of(server_table const& table, fleet::backend_server const& record)
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

void remember_removed(server_table& table, server_pointer const& server)
{
    if (table.removed_servers.size() >= max_removed_servers)
        table.removed_servers.pop_front();
    table.removed_servers.push_back(server);
}

void remove_server(server_table& table, std::string const& id, table_change& change)
{
    auto const found = table.servers.find(id);
    if (found == table.servers.end())
        return;
    found->second->is_removed = true;
    remember_removed(table, found->second);
    remove_from_service(table, found->second);
    table.by_hash.erase(found->second->hash);
    table.servers.erase(found);
    change.removed_or_leaving.push_back(id);
}

bool is_new_incarnation(known_server const& server, fleet::backend_server const& record)
{
    return server.record.started_at_ms != record.started_at_ms ||
           server.record.service != record.service || server.record.address != record.address;
}

std::deque<server_pointer>::iterator find_removed(server_table& table,
                                                  fleet::backend_server const& record)
{
    return std::find_if(table.removed_servers.begin(),
                        table.removed_servers.end(),
                        [&record](server_pointer const& removed)
                        {
                            return removed->record.id == record.id &&
                                   !is_new_incarnation(*removed, record);
                        });
}

// Takes over what the same incarnation said of itself before it was removed.
void restore_notices(server_table& table, known_server& server)
{
    auto const found = find_removed(table, server.record);
    if (found == table.removed_servers.end())
        return;
    server.limit = (*found)->limit;
    server.paused_until = (*found)->paused_until;
    server.has_announced_leaving = (*found)->has_announced_leaving;
    server.record.is_leaving = server.record.is_leaving || (*found)->record.is_leaving;
    table.removed_servers.erase(found);
}

// Returns whether the entry is the one that a server left when it was removed, or an earlier one. A
// server that lives reports again.
bool is_left_over(server_table& table, fleet::backend_server const& record)
{
    if (record.report == 0 || table.servers.contains(record.id))
        return false;
    auto const found = find_removed(table, record);
    return found != table.removed_servers.end() && record.report <= (*found)->record.report;
}

void add_server(server_table& table, fleet::backend_server const& record, table_change& change)
{
    auto server = std::make_shared<known_server>();
    server->record = record;
    server->hash = hash_text(record.id);
    server->added_number = ++table.added_count;
    server->proximity = proximity_of(table, record);
    auto const region = table.region_of_domain.find(record.failure_domain);
    if (region != table.region_of_domain.end())
        server->region = region->second;
    restore_notices(table, *server);
    table.servers.emplace(record.id, server);
    table.by_hash.emplace(server->hash, server);
    table.by_service[record.service].push_back(server);
    change.added.push_back(record.id);
}

void upsert(server_table& table,
            events::change<fleet::backend_server> const& item,
            table_change& change,
            kernel::monotonic_time now)
{
    auto const& record = *item.record;
    auto found = table.servers.find(record.id);
    if (found != table.servers.end() && is_new_incarnation(*found->second, record))
    {
        remove_server(table, record.id, change);
        found = table.servers.end();
    }
    if (found == table.servers.end())
    {
        add_server(table, record, change);
        found = table.servers.find(record.id);
    }
    auto& server = *found->second;
    server.missing_since.reset();
    if (record.report != 0 && record.report < server.record.report)
        return;
    bool const was_leaving = server.record.is_leaving;
    if (record.is_leaving && !was_leaving)
        change.removed_or_leaving.push_back(record.id);
    server.record = record;
    server.record.is_leaving = record.is_leaving || was_leaving;
    server.version = item.version;
    server.cold_until = now + record.cold_remaining;
}

bool is_in_grace_period(server_table const& table, kernel::monotonic_time now)
{
    return table.store_recovered_at && now - *table.store_recovered_at < expired_entry_grace;
}

void handle_missing_server(server_table& table,
                           std::string const& id,
                           table_change& change,
                           kernel::monotonic_time now)
{
    auto const found = table.servers.find(id);
    if (found == table.servers.end())
        return;
    if (!is_in_grace_period(table, now))
        return remove_server(table, id, change);
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
    for (auto const& item : update.changes)
    {
        if (!item.record)
        {
            handle_missing_server(table, item.name, change, now);
            continue;
        }
        if (update.is_complete && is_left_over(table, *item.record))
            continue;
        upsert(table, item, change, now);
        present.insert(item.name);
    }
    if (!update.is_complete)
        return change;
    table.is_loaded = true;
    std::vector<std::string> missing;
    for (auto const& [id, server] : table.servers)
    {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (auto const& id : missing)
        handle_missing_server(table, id, change, now);
    return change;
}

void apply_store_state(server_table& table, bool is_reachable, kernel::monotonic_time now)
{
    if (is_reachable)
        table.store_recovered_at = now;
}

void apply(server_table& table,
           events::store_update<events::evacuation> const& update,
           kernel::monotonic_time now)
{
    if (update.is_complete && !update.is_restored)
        table.evacuated_domains.clear();
    if (update.is_restored)
    {
        for (auto& [domain, ends_at] : table.evacuated_domains)
            ends_at = now + restored_evacuation_grace;
    }
    for (auto const& item : update.changes)
    {
        if (item.record)
            table.evacuated_domains.insert_or_assign(item.name, std::nullopt);
        else
            table.evacuated_domains.erase(item.name);
    }
}

std::vector<std::string> end_lost_evacuations(server_table& table, kernel::monotonic_time now)
{
    std::vector<std::string> ended;
    for (auto const& [domain, ends_at] : table.evacuated_domains)
    {
        if (ends_at && now >= *ends_at)
            ended.push_back(domain);
    }
    for (auto const& domain : ended)
        table.evacuated_domains.erase(domain);
    return ended;
}

std::vector<std::string> remove_expired(server_table& table, kernel::monotonic_time now)
{
    table_change change;
    if (is_in_grace_period(table, now))
        return change.removed_or_leaving;
    std::vector<std::string> missing;
    for (auto const& [id, server] : table.servers)
    {
        if (server->missing_since)
            missing.push_back(id);
    }
    for (auto const& id : missing)
        remove_server(table, id, change);
    return change.removed_or_leaving;
}

bool record_leaving(server_table& table, server_pointer const& server)
{
    if (std::exchange(server->has_announced_leaving, true))
        return false;
    if (!server->is_removed)
        return true;
    auto const found = table.servers.find(server->record.id);
    if (found != table.servers.end() && !is_new_incarnation(*found->second, server->record))
        found->second->has_announced_leaving = true;
    return true;
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
    return !server.is_removed && !server.record.is_leaving && !server.has_announced_leaving &&
           !table.evacuated_domains.contains(server.record.failure_domain);
}

bool is_open(known_server const& server, kernel::monotonic_time now)
{
    return now >= server.backoff_until && now >= server.paused_until &&
           (!server.limit || may_send(*server.limit, now));
}

double usable_slots(known_server const& server, double run_seconds)
{
    double const slots = server.record.slots;
    return server.limit ? std::min(slots, server.limit->max_requests_per_second * run_seconds)
                        : slots;
}

double estimated_load(known_server const& server, kernel::monotonic_time now)
{
    std::chrono::duration<double> const age = now - server.report.sent_at;
    return server.own_in_flight +
           server.report.other_requests * std::exp2(-age.count() / report_half_life.count());
}

bool has_capacity(known_server const& server, kernel::monotonic_time now, double queue_per_slot)
{
    // The decayed part of the estimate is rarely a whole number, so it is rounded: less than half a
    // request counts as none.
    return estimated_load(server, now) + 0.5 <= server.record.slots * (1 + queue_per_slot);
}

finish_estimate expected_finish(known_server const& server,
                                double run_seconds,
                                double queued,
                                kernel::monotonic_time now)
{
    auto const& reported = server.report.total;
    return estimate_finish(
        {estimated_load(server, now),
         queued,
         static_cast<double>(reported.slots.value_or(server.record.slots)),
         run_seconds,
         slowdown_factor(reported.slowdown_percent, now - server.report.sent_at)});
}

void record_load(known_server& server, server_load const& total, kernel::monotonic_time now)
{
    record_shared_load(server, total, now, now);
    server.report.is_direct = true;
}

void record_shared_load(known_server& server,
                        server_load const& total,
                        kernel::monotonic_time at,
                        kernel::monotonic_time now)
{
    auto const requests = static_cast<double>(total.running) + total.waiting;
    server.report = {std::max(0.0, requests - server.own_in_flight), total, at, now, false};
}

void record_failure(server_table const& table,
                    known_server& server,
                    server_failure cause,
                    kernel::monotonic_time now)
{
    auto const backoff = backoff_duration(
        table, cause, std::min(server.consecutive_failures, max_backoff_doublings));
    ++server.consecutive_failures;
    server.backoff_until = std::max(server.backoff_until, now + backoff);
}

void record_success(known_server& server)
{
    server.consecutive_failures = 0;
}

} // namespace pistachiohub::gateway
