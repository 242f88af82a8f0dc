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

/// The round-robin baseline takes turns; all others draw.
std::uint64_t next_draw(step& current, view::index service)
{
    auto const& policy = current.world.configuration->services[service].steering_policy;
    if (policy.steering == configuration::steering_mode::round_robin)
        return current.state.services[current.world.configuration->services[service].name].turn++;
    return next_random(current);
}

steer::destination choose(step& current, request const& subject, bool is_suspect)
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
                         next_draw(current, facts.service));
}

attempt& add_attempt(request& subject)
{
    auto& added = subject.attempts.emplace_back();
    added.number = static_cast<std::uint32_t>(subject.attempts.size());
    return added;
}

void start_here(step& current,
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

void start_elsewhere(
    step& current, request& subject, view::entry_host const& host, bool is_shift, bool is_suspect)
{
    auto& added = add_attempt(subject);
    added.entry_host = host.name;
    added.entry_host_incarnation = host.incarnation;
    added.is_shift = is_shift;
    added.holds_credit = true;
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

bool may_spend_attempt(step& current, request const& subject)
{
    if (subject.attempts.empty())
        return true;
    if (!retry::try_spend(current.state.services[subject.service].retries))
        return false;
    count(current, metric::retries, subject.attempts.back().cause);
    return true;
}

bool is_elsewhere(steer::destination_kind kind)
{
    return kind == steer::destination_kind::sibling || kind == steer::destination_kind::shift;
}

/// @returns true if the message can be addressed and the caps allow it.
bool may_relay(step& current, request const& subject, steer::destination const& chosen)
{
    auto const& host = current.world.entry_hosts[chosen.entry_host];
    if (host.incarnation == 0 || host.name == current.world.own_name)
        return false;
    if (chosen.kind == steer::destination_kind::sibling)
        return true;
    return try_shift(current, subject, host);
}

void refuse(step& current, request& subject, reason cause)
{
    // A request that was tried before fails for the reason of its last attempt.
    conclude(current, subject, subject.attempts.empty() ? cause : subject.attempts.back().cause);
}

/// The queue serves the earliest deadline first, so that in an overload every slot would be spent
/// on requests whose answer comes just too late. Requests that did not wait are always tried, so
/// that the measured run time cannot stay too long.
bool is_too_late(step const& current, request const& subject)
{
    if (subject.queued_at == current.now)
        return false;
    auto const known = current.state.services.find(subject.service);
    return known != current.state.services.end() &&
           subject.deadline - current.now < least_run_times_left * known->second.run_time;
}

/// Starts or closes a waiting request.
/// @returns false if it has to wait on.
bool try_place(step& current, request& subject)
{
    assert(may_start_attempt(subject));
    if (retry::is_quarantined(current.state.quarantine, subject.fingerprint, current.now))
    {
        conclude(current, subject, reason::quarantined);
        return true;
    }
    if (is_too_late(current, subject))
    {
        refuse(current, subject, reason::queue_deadline);
        return true;
    }
    auto const is_suspect =
        retry::is_suspect(current.state.quarantine, subject.fingerprint, current.now);
    auto const chosen = choose(current, subject, is_suspect);
    if (chosen.kind == steer::destination_kind::wait)
        return false;
    if (chosen.kind == steer::destination_kind::refuse)
    {
        refuse(current, subject, chosen.cause);
        return true;
    }
    if (is_elsewhere(chosen.kind) && !may_relay(current, subject, chosen))
        return false;
    if (!may_spend_attempt(current, subject))
    {
        if (chosen.kind == steer::destination_kind::shift)
            undo_shift(current, subject.service);
        conclude(current, subject, reason::retry_budget);
        return true;
    }
    remove(current.state.queue, subject);
    if (is_elsewhere(chosen.kind))
        start_elsewhere(current,
                        subject,
                        current.world.entry_hosts[chosen.entry_host],
                        chosen.kind == steer::destination_kind::shift,
                        is_suspect);
    else
        start_here(
            current, subject, current.world.backend_servers[chosen.backend_server], is_suspect);
    arm(current.state.requests, subject);
    return true;
}

void start_group(step& current, waiting_key const& key)
{
    std::size_t passed_over = 0;
    std::pair<kernel::monotonic_time, std::uint64_t> position{kernel::monotonic_time::min(),
                                                              std::uint64_t{0}};
    while (passed_over < most_passed_over)
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
        if (!subject.has_fewer_places)
            return;
        ++passed_over;
    }
}

} // namespace

void enqueue(step& current, request& subject)
{
    subject.has_fewer_places =
        !subject.attempts.empty() ||
        retry::is_suspect(current.state.quarantine, subject.fingerprint, current.now);
    subject.queued_at = current.now;
    push(current.state.queue, subject);
    arm(current.state.requests, subject);
    auto* const excess = find_excess(current.state.queue);
    if (excess != nullptr)
        conclude(current, *excess, reason::daemon_overloaded);
}

void start_waiting(step& current)
{
    std::vector<waiting_key> keys;
    keys.reserve(current.state.queue.groups.size());
    for (auto const& group : current.state.queue.groups)
        keys.push_back(group.first);
    for (auto const& key : keys)
        start_group(current, key);
}

} // namespace pistachiohub::forward
