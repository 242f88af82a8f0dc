#include "plugins/forward/placement.hpp"

#include "plugins/forward/conclusion.hpp"
#include "plugins/forward/relay_limits.hpp"
#include "plugins/forward/relay_sender.hpp"
#include "plugins/forward/server_slots.hpp"
#include "plugins/forward/step.hpp"

#include <algorithm>
#include <cassert>

namespace pistachiohub::forward
{

namespace
{

/// @returns the number by which a destination is selected: a counter for round-robin steering, a
/// random number for all other modes.
std::uint64_t next_selector(step& current, view::index service)
{
    auto const& policy = current.world.configuration->services[service].steering_policy;
    if (policy.steering == configuration::steering_mode::round_robin)
        return current.state.services[current.world.configuration->services[service].name]
            .round_robin_count++;
    return next_random(current);
}

steer::destination choose_destination(step& current, request const& subject, bool is_suspect)
{
    steer::request_facts facts;
    facts.service = view::find_service(current.world, subject.service);
    facts.tried_backend_servers = subject.tried_backend_servers;
    facts.tried_entry_hosts = subject.tried_entry_hosts;
    facts.is_suspect = is_suspect;
    if (facts.service == view::no_index)
        return {.cause = reason::unknown_service};
    return steer::choose(current.world,
                         list_usage(current.state.servers, current.world),
                         list_credits(current.state.credits, current.world),
                         facts,
                         current.now,
                         next_selector(current, facts.service));
}

attempt& add_attempt(request& subject)
{
    auto& added = subject.attempts.emplace_back();
    added.number = static_cast<std::uint32_t>(subject.attempts.size());
    return added;
}

void start_local_attempt(step& current,
                         request& subject,
                         view::backend_server const& server,
                         bool is_suspect)
{
    auto& added = add_attempt(subject);
    take_slot(current, added.run, server, subject.deadline, is_suspect);
    subject.tried_backend_servers.push_back(server.name);
    current.state.dispatches[added.run.dispatch] = {&subject, added.number, nullptr};
    events::dispatch_attempt command{added.run.dispatch,
                                     server.name,
                                     server.address,
                                     server.port,
                                     subject.id,
                                     added.number,
                                     subject.service,
                                     subject.deadline,
                                     subject.body};
    emit(current, events::backend_command{std::move(command)});
}

void start_relayed_attempt(
    step& current, request& subject, view::entry_host const& host, bool is_shift, bool is_suspect)
{
    auto& added = add_attempt(subject);
    added.entry_host = host.name;
    added.entry_host_incarnation = host.incarnation;
    added.is_shift = is_shift;
    added.holds_credit = true;
    added.run.started_at = current.now;
    added.run.check_at = current.now + relay_query_interval;
    take_credit(current.state.credits, host.name, subject.service);
    subject.tried_entry_hosts.push_back(host.name);
    messages::relay content{subject.id,
                            added.number,
                            subject.service,
                            remaining_ms(current, subject.deadline),
                            is_suspect,
                            subject.body};
    emit_peer(current, host.name, host.incarnation, std::move(content));
}

/// Charges the retry budget for an attempt after the first.
/// @returns false if the budget is spent.
bool try_charge_retry(step& current, request const& subject)
{
    if (subject.attempts.empty())
        return true;
    if (!retry::try_spend(current.state.services[subject.service].retries))
        return false;
    increment_counter(current, metric::retries, subject.attempts.back().cause);
    return true;
}

bool is_relayed(steer::destination_kind kind)
{
    return kind == steer::destination_kind::sibling || kind == steer::destination_kind::shift;
}

/// @returns true if the entry host can be addressed and the shift cap and the link budget allow the
/// relay. A shift is counted against the shift cap.
bool try_reserve_relay(step& current, request const& subject, steer::destination const& chosen)
{
    auto const& host = current.world.entry_hosts[chosen.entry_host];
    if (host.incarnation == 0 || host.name == current.world.own_name)
        return false;
    if (chosen.kind == steer::destination_kind::sibling)
        return true;
    return try_shift(current, subject, host);
}

/// Closes a request that cannot be placed.
void refuse(step& current, request& subject, reason cause)
{
    // After a failed attempt the reason of that attempt is reported.
    close_without_answer(
        current, subject, subject.attempts.empty() ? cause : subject.attempts.back().cause);
}

/// @returns true if a request that waited has too little time left to run. The queue serves the
/// earliest deadline first, so that without this check an overload would spend every slot on
/// requests whose answers come just too late. Requests that did not wait are always tried, because
/// the average run time would otherwise stay too high after a slow phase.
bool is_too_late(step const& current, request const& subject)
{
    if (subject.queued_at == current.now)
        return false;
    auto const known = current.state.services.find(subject.service);
    return known != current.state.services.end() &&
           subject.deadline - current.now < min_run_times_left * known->second.run_time;
}

/// Starts an attempt of a waiting request, or closes the request.
/// @returns false if it has to stay in the queue.
bool try_place(step& current, request& subject)
{
    assert(may_start_attempt(subject));
    if (retry::is_quarantined(current.state.quarantine, subject.fingerprint, current.now))
    {
        close_without_answer(current, subject, reason::quarantined);
        return true;
    }
    if (is_too_late(current, subject))
    {
        refuse(current, subject, reason::queue_deadline);
        return true;
    }
    auto const is_suspect =
        retry::is_suspect(current.state.quarantine, subject.fingerprint, current.now);
    auto const chosen = choose_destination(current, subject, is_suspect);
    if (chosen.kind == steer::destination_kind::wait)
        return false;
    if (chosen.kind == steer::destination_kind::refuse)
    {
        refuse(current, subject, chosen.cause);
        return true;
    }
    if (is_relayed(chosen.kind) && !try_reserve_relay(current, subject, chosen))
        return false;
    if (!try_charge_retry(current, subject))
    {
        if (chosen.kind == steer::destination_kind::shift)
            undo_shift(current, subject.service);
        close_without_answer(current, subject, reason::retry_budget);
        return true;
    }
    remove(current.state.queue, subject);
    if (is_relayed(chosen.kind))
        start_relayed_attempt(current,
                              subject,
                              current.world.entry_hosts[chosen.entry_host],
                              chosen.kind == steer::destination_kind::shift,
                              is_suspect);
    else
        start_local_attempt(
            current, subject, current.world.backend_servers[chosen.backend_server], is_suspect);
    update_timer(current.state.requests, subject);
    return true;
}

/// Starts requests of one group in order, until one has to wait. A request with restricted
/// placement that has to wait is skipped, up to a limit.
void start_waiting_group(step& current, waiting_key const& key)
{
    std::size_t skipped = 0;
    std::pair<kernel::monotonic_time, std::uint64_t> position{kernel::monotonic_time::min(),
                                                              std::uint64_t{0}};
    while (skipped < max_skipped_requests)
    {
        auto const group = current.state.queue.groups.find(key);
        if (group == current.state.queue.groups.end())
            return;
        auto const next = group->second.upper_bound(position);
        if (next == group->second.end())
            return;
        position = next->first;
        auto& subject = *next->second;
        if (try_place(current, subject))
            continue;
        if (!subject.has_restricted_placement)
            return;
        ++skipped;
    }
}

} // namespace

void enqueue(step& current, request& subject)
{
    subject.has_restricted_placement =
        !subject.attempts.empty() ||
        retry::is_suspect(current.state.quarantine, subject.fingerprint, current.now);
    subject.queued_at = current.now;
    push(current.state.queue, subject);
    update_timer(current.state.requests, subject);
    auto* const excess = find_request_to_refuse(current.state.queue);
    if (excess != nullptr)
        close_without_answer(current, *excess, reason::daemon_overloaded);
}

void start_waiting_requests(step& current)
{
    std::vector<waiting_key> keys;
    keys.reserve(current.state.queue.groups.size());
    for (auto const& group : current.state.queue.groups)
        keys.push_back(group.first);
    for (auto const& key : keys)
        start_waiting_group(current, key);
}

} // namespace pistachiohub::forward
