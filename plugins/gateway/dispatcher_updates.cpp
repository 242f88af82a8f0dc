/// @file
/// What the dispatcher learns: configurations, servers, evacuations and hosts from the store, and
/// the load of the servers.

#include "plugins/gateway/dispatcher.hpp"

#include <array>

namespace pistachiohub::gateway
{

namespace
{

// Weight of the newest value of a smoothed utilisation.
constexpr double smoothing = 0.2;

void smooth(std::optional<double>& figure, std::optional<double> const& newest)
{
    if (!newest || !figure)
        figure = newest;
    else
        *figure += smoothing * (*newest - *figure);
}

// A server that starts again under its id can crash again.
std::string incarnation_of(known_server const& server)
{
    return server.record.id + '/' + std::to_string(server.record.started_at_ms);
}

/// Sums of load and slots at one distance.
struct use_sum
{
    double load = 0;
    double slots = 0;

    [[nodiscard]] std::optional<double> share() const
    {
        return slots > 0 ? std::optional(load / slots) : std::nullopt;
    }
};

} // namespace

void dispatcher::set_bounds(kernel::gateway_bounds const& bounds)
{
    m_bounds = bounds;
}

void dispatcher::apply(events::store_update<routing::routing_document> const& update)
{
    for (auto const& read : update.changes)
    {
        bool const is_newer =
            read.record && (!m_table || read.record->version > m_table->document.version);
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          is_newer ? "configuration_applied" : "configuration_ignored",
                          {{"version", read.record ? read.record->version : 0},
                           {"in_force", m_table ? m_table->document.version : 0},
                           {"object_version", read.version}});
        if (!is_newer)
            continue;
        m_table = routing::make_routing_table(*read.record);
        m_rotations.clear();
    }
}

void dispatcher::log_lost(std::vector<std::string> const& ids, std::string_view cause)
{
    for (auto const& id : ids)
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          "server_lost",
                          {{"server", std::string_view(id)}, {"cause", cause}});
}

void dispatcher::log_added(std::string const& id)
{
    auto const found = m_servers.servers.find(id);
    // One update may hold the removal too.
    if (found == m_servers.servers.end())
        return;
    auto const& server = *found->second;
    kernel::log_event(kernel::log_level::info,
                      "gateway",
                      "server_added",
                      {{"server", std::string_view(id)},
                       {"service", std::string_view(server.record.service)},
                       {"failure_domain", std::string_view(server.record.failure_domain)},
                       {"version", server.version},
                       {"cold_ms", server.record.cold_remaining.count()}});
}

void dispatcher::apply(events::store_update<fleet::backend_server> const& update,
                       kernel::monotonic_time now)
{
    auto const change = gateway::apply(m_servers, update, now);
    for (auto const& id : change.added)
        log_added(id);
    log_lost(change.lost, "store");
    tick(now);
}

void dispatcher::apply(events::store_update<events::evacuation> const& update,
                       kernel::monotonic_time now)
{
    gateway::apply(m_servers, update);
    for (auto const& read : update.changes)
        kernel::log_event(
            kernel::log_level::info,
            "gateway",
            read.record ? "evacuation_begun" : "evacuation_ended",
            {{"failure_domain", std::string_view(read.name)}, {"version", read.version}});
    tick(now);
}

void dispatcher::apply(events::store_update<fleet::entry_host> const& update,
                       kernel::monotonic_time now)
{
    gateway::apply(m_hosts, update, now);
    for (auto const& read : update.changes)
    {
        if (!read.record || read.name == m_own_name)
            continue;
        for (auto const fingerprint : apply_reports(m_crashes, read.record->crashes, now))
            log_quarantined(fingerprint, read.name);
    }
}

void dispatcher::note_broken_send(gateway_request const& request, kernel::monotonic_time now)
{
    auto const& server = request.server;
    note_break(m_crashes, crash_fingerprint(request), incarnation_of(*server), now);
    if (server->is_checked || server->is_gone)
        return;
    server->is_checked = true;
    m_actions.check_server(server);
}

void dispatcher::server_checked(server_pointer const& server,
                                bool is_refused,
                                kernel::monotonic_time now)
{
    server->is_checked = false;
    if (!is_refused)
        return;
    auto const fingerprints = note_crash(m_crashes, incarnation_of(*server), now);
    kernel::log_event(kernel::log_level::warning,
                      "gateway",
                      "server_crashed",
                      {{"server", std::string_view(server->record.id)},
                       {"version", server->version},
                       {"suspects", fingerprints.size()}});
    for (auto const fingerprint : fingerprints)
    {
        if (retry::is_quarantined(m_crashes.suspects, fingerprint, now))
            log_quarantined(fingerprint, m_own_name);
    }
    m_actions.report_crashes(reports_of(m_crashes));
}

void dispatcher::log_quarantined(std::uint64_t fingerprint, std::string_view source)
{
    kernel::log_event(kernel::log_level::warning,
                      "gateway",
                      "request_quarantined",
                      {{"fingerprint", fingerprint}, {"reported_by", source}});
}

void dispatcher::apply_server_contact(bool is_reachable, kernel::monotonic_time now)
{
    gateway::apply_contact(m_servers, is_reachable, now);
}

void dispatcher::apply_host_contact(bool is_reachable, kernel::monotonic_time now)
{
    gateway::apply_contact(m_hosts, is_reachable, now);
}

void dispatcher::update_utilisation(std::string const& service,
                                    service_state& state,
                                    kernel::monotonic_time now)
{
    std::array<use_sum, 3> sums;
    for (auto const& server : servers_of(m_servers, service))
    {
        if (!is_usable(m_servers, *server))
            continue;
        auto const load = estimated_load(*server, now);
        for (auto nearest = static_cast<std::size_t>(server->how_far); nearest < sums.size();
             ++nearest)
        {
            sums[nearest].load += load;
            sums[nearest].slots += server->record.slots;
        }
    }
    // What waits here has no slot and belongs to the load of the nearest servers.
    for (auto& sum : sums)
        sum.load += static_cast<double>(state.waiting.size());
    smooth(state.used.own_domain, sums[0].slots > 0 ? sums[0].share() : std::optional<double>());
    smooth(state.used.own_region, sums[1].share());
    smooth(state.used.everywhere, sums[2].share());
    slot_counts const slots{
        sums[0].slots, sums[1].slots - sums[0].slots, sums[2].slots - sums[1].slots};
    // A service whose servers are unknown yet starts with the first of them.
    if (!state.spill.is_started)
        return start_spill_of(service, state, now);
    served_parts const served{served_part(state.in_region), served_part(state.outside)};
    update_spill(state.spill, state.used, slots, served, m_bounds.shift, now);
    fade(state.in_region);
    fade(state.outside);
}

void dispatcher::start_spill_of(std::string const& service,
                                service_state& state,
                                kernel::monotonic_time now)
{
    slot_counts slots;
    for (auto const& server : servers_of(m_servers, service))
    {
        if (!is_usable(m_servers, *server))
            continue;
        switch (server->how_far)
        {
        case distance::same_domain:
            slots.own_domain += server->record.slots;
            break;
        case distance::same_region:
            slots.own_region += server->record.slots;
            break;
        case distance::other_region:
            slots.other_regions += server->record.slots;
        }
    }
    start_spill(state.spill, slots, part_of_hosts_in_region(m_hosts, m_regions), now);
    if (!state.spill.is_started)
        return;
    kernel::log_event(kernel::log_level::info,
                      "gateway",
                      "spill_started",
                      {{"service", std::string_view(service)},
                       {"slots_in_region", slots.own_domain + slots.own_region},
                       {"slots_outside", slots.other_regions},
                       {"region_part", state.spill.region_part}});
}

served_count& dispatcher::count_at(service_state& state, known_server const& server)
{
    return server.how_far == distance::other_region ? state.outside : state.in_region;
}

void dispatcher::count_wanted(gateway_request& request, known_server const& first)
{
    request.is_region_counted = true;
    ++count_at(state_of(request.service), first).wanted;
}

} // namespace pistachiohub::gateway
