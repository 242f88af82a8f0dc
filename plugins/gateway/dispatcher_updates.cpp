/// @file
/// The part of the dispatcher that applies updates: configurations, servers, evacuations and hosts
/// from the store, results of crash checks, and the measured load of the servers.

#include "plugins/gateway/affinity.hpp"
#include "plugins/gateway/dispatcher.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace pistachiohub::gateway
{

namespace
{

// Weight of the newest sample in the moving average of the utilisation.
constexpr double smoothing_factor = 0.2;

// Updates an exponential moving average. A missing sample clears it, and the first sample sets it.
void update_average(std::optional<double>& average, std::optional<double> const& newest)
{
    if (!newest || !average)
        average = newest;
    else
        *average += smoothing_factor * (*newest - *average);
}

// Identifies one run of a server, so that a server that restarts under its id counts as another one
// when it crashes again.
std::string incarnation_of(known_server const& server)
{
    return server.record.id + '/' + std::to_string(server.record.started_at_ms);
}

std::string_view event_of(fleet::quarantined_request const& decision)
{
    if (decision.is_released)
        return "quarantine_released";
    return decision.failed_trials > 0 ? "quarantine_trial_failed" : "request_quarantined";
}

// Lists crashes with their age, for the operator who asks why a request is refused.
std::string describe_crashes(retry::suspicion const& entry, kernel::monotonic_time now)
{
    std::string text;
    for (auto const& crash : entry.crashes)
    {
        text += text.empty() ? "" : " ";
        text += crash.backend_server + ':' +
                std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(now - crash.crashed_at)
                        .count());
    }
    return text;
}

/// Sums of load and slots of the servers up to one distance.
struct load_sum
{
    double load = 0;
    double slots = 0;

    [[nodiscard]] std::optional<double> load_per_slot() const
    {
        return slots > 0 ? std::optional(load / slots) : std::nullopt;
    }
};

} // namespace

void dispatcher::set_bounds(kernel::gateway_bounds const& bounds)
{
    m_bounds = bounds;
}

void dispatcher::set_service_end(service_end const& end)
{
    m_service_end = end;
}

void dispatcher::apply(events::store_update<routing::routing_document> const& update)
{
    for (auto const& object : update.changes)
    {
        bool const is_newer =
            object.record && (!m_table || object.record->version > m_table->document.version);
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          is_newer ? "configuration_applied" : "configuration_ignored",
                          {{"version", object.record ? object.record->version : 0},
                           {"in_force", m_table ? m_table->document.version : 0},
                           {"object_version", object.version}});
        if (!is_newer)
            continue;
        m_table = make_table(*object.record);
        m_round_robins.clear();
        forget_runs_of_removed_routes();
    }
}

void dispatcher::forget_runs_of_removed_routes()
{
    std::unordered_set<std::string_view> names;
    for (auto const& route : m_table->document.routes)
        names.insert(route.name);
    for (auto& [service, state] : m_services)
        std::erase_if(state.runs_of_route,
                      [&names](auto const& entry)
                      {
                          return !names.contains(entry.first);
                      });
}

void dispatcher::log_lost_servers(std::vector<std::string> const& ids, std::string_view cause)
{
    for (auto const& id : ids)
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          "server_lost",
                          {{"server", std::string_view(id)}, {"cause", cause}});
}

void dispatcher::log_added_server(std::string const& id)
{
    auto const found = m_servers.servers.find(id);
    // The same update may also have removed the server.
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
    // Servers that the older copy lacks have the same time to register again as after an outage.
    if (update.is_restored)
        apply_store_state(m_servers, true, now);
    record_lost_servers(update, now);
    auto const change = gateway::apply(m_servers, update, now);
    for (auto const& id : change.added)
        log_added_server(id);
    log_lost_servers(change.removed_or_leaving, "store");
    tick(now);
}

void dispatcher::record_lost_servers(events::store_update<fleet::backend_server> const& update,
                                     kernel::monotonic_time now)
{
    // A complete list may lack servers because of an outage of the store.
    if (update.is_complete || !has_failed_trial(m_crashes))
        return;
    for (auto const& item : update.changes)
    {
        auto const found = m_servers.servers.find(item.name);
        if (found == m_servers.servers.end())
            continue;
        auto const& known = *found->second;
        bool const is_same_process =
            item.record && item.record->started_at_ms == known.record.started_at_ms;
        if (!is_same_process && !known.record.is_leaving && !known.has_announced_leaving)
            record_lost_server(m_crashes, incarnation_of(known), now);
    }
}

void dispatcher::apply(events::store_update<events::evacuation> const& update,
                       kernel::monotonic_time now)
{
    gateway::apply(m_servers, update, now);
    for (auto const& object : update.changes)
        kernel::log_event(
            kernel::log_level::info,
            "gateway",
            object.record ? "evacuation_begun" : "evacuation_ended",
            {{"failure_domain", std::string_view(object.name)}, {"version", object.version}});
    tick(now);
}

void dispatcher::apply(events::store_update<fleet::entry_host> const& update,
                       kernel::monotonic_time now)
{
    gateway::apply(m_hosts, update, now);
    // A release in one registration also covers the crashes that others still report.
    for (auto const& object : update.changes)
    {
        if (object.record)
            apply_decisions_of(*object.record, now);
    }
    for (auto const& object : update.changes)
    {
        if (object.record)
            apply_reports_of(*object.record, now);
    }
    publish_crashes();
}

void dispatcher::apply_decisions_of(fleet::entry_host const& host, kernel::monotonic_time now)
{
    for (auto const& decision :
         apply_decisions(m_crashes, host.crashes.quarantines, moment_of(now)))
        log_decision(decision, "registration", now);
}

void dispatcher::apply_reports_of(fleet::entry_host const& host, kernel::monotonic_time now)
{
    bool const is_own = host.name == m_own_name;
    // Later registrations of this host hold only what this process has published itself.
    if (is_own && std::exchange(m_has_restored_reports, true))
        return;
    auto const at = moment_of(now);
    log_quarantines(is_own ? restore_reports(m_crashes, host.crashes.reports, at)
                           : apply_reports(m_crashes, host.crashes.reports, host.name, at),
                    host.name,
                    now);
}

moment dispatcher::moment_of(kernel::monotonic_time now) const
{
    return {now, m_actions.wall_clock_ms()};
}

void dispatcher::record_broken_send(gateway_request const& request, kernel::monotonic_time now)
{
    auto const& server = request.server;
    auto const fingerprint = crash_fingerprint(request);
    add_pending_break(m_crashes, fingerprint, incarnation_of(*server), request.sent_at, now);
    pause_trial(m_crashes, fingerprint, now);
    log_broken_run(request, now);
    if (server->is_probe_pending)
    {
        server->has_broken_during_probe = true;
        return;
    }
    // A server that is not listed any more may still have run the request.
    check_server(server);
}

// The hashes tell which part differs when equal requests get different fingerprints.
void dispatcher::log_broken_run(gateway_request const& request, kernel::monotonic_time now)
{
    if (!m_request_log.admit(now))
        return;
    kernel::log_event(kernel::log_level::info,
                      "gateway",
                      "run_broken",
                      {{"id", std::string_view(request.id)},
                       {"fingerprint", crash_fingerprint(request)},
                       {"route", std::string_view(request.route->name)},
                       {"caller", std::string_view(request.caller_address)},
                       {"target_hash", hash_text(request.message.target)},
                       {"body_hash", hash_text(request.message.body)},
                       {"server", std::string_view(request.server->record.id)},
                       {"server_version", request.server->version},
                       {"suppressed", m_request_log.take_suppressed()}});
}

void dispatcher::check_server(server_pointer const& server)
{
    server->is_probe_pending = true;
    server->has_broken_during_probe = false;
    m_actions.check_server(server);
}

void dispatcher::server_checked(server_pointer const& server,
                                bool is_refused,
                                kernel::monotonic_time now)
{
    server->is_probe_pending = false;
    m_metrics
        .find_counter("pistachiohub_gateway_crash_checks_total",
                      {"result", is_refused ? "refused" : "not_refused"})
        .increment();
    if (!is_refused)
    {
        if (m_request_log.admit(now))
            kernel::log_event(kernel::log_level::info,
                              "gateway",
                              "crash_not_confirmed",
                              {{"server", std::string_view(server->record.id)},
                               {"version", server->version},
                               {"suppressed", m_request_log.take_suppressed()}});
        if (server->has_broken_during_probe)
            check_server(server);
        return;
    }
    // A process that restarts under the id is another one, and must not get requests that are
    // counted for this one.
    record_failure(m_servers, *server, server_failure::crashed, now);
    auto const effect = record_crash(m_crashes, incarnation_of(*server), moment_of(now));
    kernel::log_event(kernel::log_level::warning,
                      "gateway",
                      "server_crashed",
                      {{"server", std::string_view(server->record.id)},
                       {"version", server->version},
                       {"suspects", effect.suspects.size()}});
    log_quarantines(effect.quarantined, m_own_name, now);
    for (auto const& decision : effect.failed_trials)
        log_decision(decision, "crash_of_trial_run", now);
    publish_crashes();
}

void dispatcher::log_quarantines(std::span<std::uint64_t const> fingerprints,
                                 std::string_view source,
                                 kernel::monotonic_time now)
{
    for (auto const fingerprint : fingerprints)
    {
        auto const* const entry = retry::find_suspicion(m_crashes.suspects, fingerprint, now);
        if (entry == nullptr)
            continue;
        m_metrics
            .find_counter("pistachiohub_gateway_quarantines_total",
                          {"event", "request_quarantined"})
            .increment();
        kernel::log_event(
            kernel::log_level::warning,
            "gateway",
            "request_quarantined",
            {{"fingerprint", fingerprint},
             {"reported_by", source},
             {"crashes", describe_crashes(*entry, now)},
             {"independent_crashes", retry::independent_crashes(*entry)},
             {"ends_at_ms", m_crashes.decisions.at(fingerprint).published.ends_at_ms}});
    }
}

void dispatcher::log_decision(fleet::quarantined_request const& decision,
                              std::string_view cause,
                              kernel::monotonic_time now)
{
    auto const event = event_of(decision);
    m_metrics.find_counter("pistachiohub_gateway_quarantines_total", {"event", event}).increment();
    auto const* const entry = retry::find_suspicion(m_crashes.suspects, decision.fingerprint, now);
    kernel::log_event(decision.is_released ? kernel::log_level::info : kernel::log_level::warning,
                      "gateway",
                      event,
                      {{"fingerprint", decision.fingerprint},
                       {"cause", cause},
                       {"decided_by", std::string_view(decision.decided_by)},
                       {"decided_at_ms", decision.decided_at_ms},
                       {"crashes", entry == nullptr ? "-" : describe_crashes(*entry, now)},
                       {"failed_trials", decision.failed_trials},
                       {"is_final", static_cast<int>(is_final(decision))},
                       {"ends_at_ms", decision.ends_at_ms}});
}

bool dispatcher::admit_trial_run(gateway_request const& request, kernel::monotonic_time now)
{
    auto const fingerprint = crash_fingerprint(request);
    if (permits_trial_run(m_crashes, fingerprint, m_sharing_hosts, moment_of(now)))
        return true;
    record_refusal(m_crashes, fingerprint, now);
    return false;
}

void dispatcher::begin_trial_run(gateway_request& request, kernel::monotonic_time now)
{
    auto const fingerprint = crash_fingerprint(request);
    request.is_trial_run = true;
    retry::begin_trial_run(m_crashes.suspects, fingerprint);
    m_metrics.find_counter("pistachiohub_gateway_trial_runs_total").increment();
    auto const* const entry = retry::find_suspicion(m_crashes.suspects, fingerprint, now);
    if (entry == nullptr || !m_request_log.admit(now))
        return;
    kernel::log_event(kernel::log_level::info,
                      "gateway",
                      "trial_run_sent",
                      {{"id", std::string_view(request.id)},
                       {"fingerprint", fingerprint},
                       {"server", std::string_view(request.server->record.id)},
                       {"running", entry->trial.running},
                       {"answers", entry->trial.answers},
                       {"suppressed", m_request_log.take_suppressed()}});
}

void dispatcher::end_trial_run(gateway_request& request, bool is_unresolved)
{
    if (std::exchange(request.is_trial_run, false))
        retry::end_trial_run(m_crashes.suspects, crash_fingerprint(request), is_unresolved);
}

void dispatcher::update_trials(kernel::monotonic_time now)
{
    if (!has_failed_trial(m_crashes))
        return;
    auto const judged = judge_failed_trials(m_crashes, moment_of(now));
    for (auto const& decision : judged)
        log_decision(decision, "judged_trial", now);
    if (!judged.empty())
        publish_crashes();
}

void dispatcher::publish_crashes()
{
    auto known = collect_crash_knowledge(m_crashes, m_own_name, m_sharing_hosts);
    if (known == m_published_crashes)
        return;
    m_published_crashes = known;
    m_actions.publish_crashes(std::move(known));
}

void dispatcher::record_answer_of_suspect(gateway_request const& request,
                                          unsigned status,
                                          kernel::monotonic_time now)
{
    auto const effect = record_answer(m_crashes, request, request.sent_at, moment_of(now));
    if (effect.is_released)
    {
        log_decision(m_crashes.decisions.at(crash_fingerprint(request)).published, "answers", now);
        return publish_crashes();
    }
    if (effect.cleared_crashes == 0)
        return;
    m_metrics.find_counter("pistachiohub_gateway_suspicions_cleared_total").increment();
    if (m_request_log.admit(now))
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          "suspicion_cleared",
                          {{"id", std::string_view(request.id)},
                           {"fingerprint", crash_fingerprint(request)},
                           {"crashes", effect.cleared_crashes},
                           {"server", std::string_view(request.server->record.id)},
                           {"status", status},
                           {"suppressed", m_request_log.take_suppressed()}});
}

void dispatcher::log_suspect_sent(gateway_request const& request,
                                  std::size_t crashes,
                                  kernel::monotonic_time now)
{
    m_metrics
        .find_counter("pistachiohub_gateway_suspect_sends_total",
                      {"crashes", std::to_string(crashes)})
        .increment();
    if (m_request_log.admit(now))
        kernel::log_event(kernel::log_level::info,
                          "gateway",
                          "suspect_sent",
                          {{"id", std::string_view(request.id)},
                           {"fingerprint", crash_fingerprint(request)},
                           {"crashes", crashes},
                           {"service", std::string_view(request.service)},
                           {"server", std::string_view(request.server->record.id)},
                           {"server_version", request.server->version},
                           {"sends", request.sends},
                           {"suppressed", m_request_log.take_suppressed()}});
}

void dispatcher::set_server_store_reachable(bool is_reachable, kernel::monotonic_time now)
{
    gateway::apply_store_state(m_servers, is_reachable, now);
}

void dispatcher::set_host_store_reachable(bool is_reachable, kernel::monotonic_time now)
{
    gateway::apply_store_state(m_hosts, is_reachable, now);
}

void dispatcher::update_utilisation(std::string const& service,
                                    service_state& state,
                                    kernel::monotonic_time now)
{
    std::array<load_sum, 3> sums;
    for (auto const& server : servers_of(m_servers, service))
    {
        if (!is_usable(m_servers, *server))
            continue;
        auto const load = estimated_load(*server, now);
        for (auto nearest = static_cast<std::size_t>(server->proximity); nearest < sums.size();
             ++nearest)
        {
            sums[nearest].load += load;
            sums[nearest].slots += usable_slots(*server, state.smoothed_run_seconds);
        }
    }
    if (m_has_stable_placement)
        update_weights(service, now);
    // Waiting requests have no slot yet, but belong to the load of the nearest servers.
    for (auto& sum : sums)
        sum.load += static_cast<double>(state.waiting.size());
    update_average(state.smoothed_utilisation.own_domain,
                   sums[0].slots > 0 ? sums[0].load_per_slot() : std::optional<double>());
    update_average(state.smoothed_utilisation.own_region, sums[1].load_per_slot());
    update_average(state.smoothed_utilisation.everywhere, sums[2].load_per_slot());
    slot_counts const slots{
        sums[0].slots, sums[1].slots - sums[0].slots, sums[2].slots - sums[1].slots};
    // The spillover starts when the first server of the service is known.
    if (!state.spill.is_started)
        return start_spill_of(service, state, now);
    served_fractions const served{served_fraction(state.served_in_region),
                                  served_fraction(state.served_outside)};
    update_spill(state.spill, state.smoothed_utilisation, slots, served, m_bounds.shift, now);
    decay(state.served_in_region);
    decay(state.served_outside);
}

void dispatcher::update_weights(std::string const& service, kernel::monotonic_time now)
{
    // Servers that take fewer requests than they have room for say nothing of their load.
    auto const is_measured = [this, now](known_server const& server)
    {
        return is_usable(m_servers, server) && is_open(server, now) && now >= server.cold_until &&
               !server.limit;
    };
    std::map<std::string_view, load_sum> sums;
    for (auto const& server : servers_of(m_servers, service))
    {
        if (!is_measured(*server))
            continue;
        auto& sum = sums[server->region];
        sum.load += estimated_load(*server, now);
        sum.slots += server->record.slots;
    }
    for (auto const& server : servers_of(m_servers, service))
    {
        auto const of_region = sums.find(server->region);
        if (!is_measured(*server) || of_region == sums.end() || server->record.slots == 0)
            continue;
        placement::adapt(server->weight,
                         {estimated_load(*server, now) / server->record.slots,
                          of_region->second.load_per_slot().value_or(0)},
                         now);
    }
}

void dispatcher::count_move(gateway_request const& request,
                            server_choice const& chosen,
                            kernel::monotonic_time now)
{
    auto const is_available = [this, now](std::uint64_t hash)
    {
        auto const found = m_servers.by_hash.find(hash);
        return found != m_servers.by_hash.end() && is_usable(m_servers, *found->second) &&
               is_open(*found->second, now);
    };
    auto const move = placement::record_placement(state_of(request.service).moves,
                                                  {*request.affinity_key,
                                                   chosen.server->hash,
                                                   chosen.first->hash,
                                                   chosen.first->added_number,
                                                   m_servers.added_count,
                                                   now},
                                                  is_available);
    if (move.is_required)
        m_metrics.find_counter("pistachiohub_gateway_object_moves_required_total").increment();
    if (move.cause != placement::move_cause::none)
        m_metrics
            .find_counter("pistachiohub_gateway_object_moves_total",
                          {"cause", placement::to_string(move.cause)})
            .increment();
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
        switch (server->proximity)
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
    start_spill(state.spill, slots, fraction_of_hosts_in_region(m_hosts, m_region_count), now);
    if (!state.spill.is_started)
        return;
    kernel::log_event(kernel::log_level::info,
                      "gateway",
                      "spill_started",
                      {{"service", std::string_view(service)},
                       {"slots_in_region", slots.own_domain + slots.own_region},
                       {"slots_outside", slots.other_regions},
                       {"region_part", state.spill.region_fraction}});
}

served_counts& dispatcher::served_counts_at(service_state& state, known_server const& server)
{
    return server.proximity == distance::other_region ? state.served_outside
                                                      : state.served_in_region;
}

void dispatcher::count_assigned(gateway_request& request, known_server const& first)
{
    request.is_region_counted = true;
    ++served_counts_at(state_of(request.service), first).assigned;
}

} // namespace pistachiohub::gateway
