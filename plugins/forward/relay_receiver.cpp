#include "plugins/forward/relay_receiver.hpp"

#include "plugins/forward/crash_suspicion.hpp"
#include "plugins/forward/drain.hpp"
#include "plugins/forward/server_slots.hpp"
#include "plugins/forward/step.hpp"

#include <algorithm>
#include <limits>

namespace pistachiohub::forward
{

namespace
{

relay_key make_key(identity::request_id const& id, std::uint32_t attempt)
{
    return {id.owner, id.incarnation, id.epoch, id.unique, attempt};
}

relay_run* find_run(relay_table& table, identity::request_id const& id, std::uint32_t attempt)
{
    auto const found = table.runs.find(make_key(id, attempt));
    return found == table.runs.end() ? nullptr : found->second.get();
}

bool is_open(relay_run const& subject)
{
    return subject.is_dispatched && is_pending(subject.run.state);
}

void disarm(relay_table& table, relay_run& subject)
{
    if (subject.timer == kernel::monotonic_time::max())
        return;
    table.timers.erase({subject.timer, subject.sequence});
    subject.timer = kernel::monotonic_time::max();
}

kernel::monotonic_time next_check(relay_run const& subject)
{
    if (!is_open(subject))
        return subject.answer_expires_at;
    if (subject.run.state == run_state::running)
        return std::min(subject.deadline, subject.run.check_at);
    return subject.run.check_at;
}

void arm(relay_table& table, relay_run& subject)
{
    disarm(table, subject);
    auto const next = next_check(subject);
    if (next == kernel::monotonic_time::max())
        return;
    subject.timer = next;
    table.timers.emplace(std::pair(next, subject.sequence), &subject);
}

void send_reply(step& current, relay_run const& subject)
{
    emit_peer(current, subject.id.owner, subject.id.incarnation, subject.reply);
}

void set_reply(
    step& current, relay_run& subject, outcome result, reason cause, std::string answer = {})
{
    auto& bytes = current.state.relays.answer_bytes;
    bytes -= subject.reply.answer.size();
    bytes += answer.size();
    if (!answer.empty())
        subject.answer_expires_at = current.now + relay_answer_retention;
    subject.has_reply = true;
    subject.reply = {
        subject.id, subject.attempt, result, cause, subject.run.backend_server, std::move(answer)};
    send_reply(current, subject);
}

/// Refuses an attempt. The refusal is stored, so that a duplicate relay of the same attempt gets
/// the same reply and is never dispatched.
void refuse(step& current, relay_run& subject, reason cause)
{
    increment_counter(current, metric::refusals, cause);
    set_reply(current, subject, outcome::not_run, cause);
}

relay_run& add_run(relay_table& table, identity::request_id const& id, std::uint32_t attempt)
{
    auto& slot = table.runs[make_key(id, attempt)];
    slot = std::make_unique<relay_run>();
    slot->sequence = table.next_sequence++;
    slot->id = id;
    slot->attempt = attempt;
    return *slot;
}

bool is_before_retention(known_owner const& owner, std::uint32_t epoch)
{
    return std::uint64_t{epoch} + retention_epochs < owner.epoch;
}

/// Checks that a message was sent by the owner of `id` in its newest known incarnation, and updates
/// the incarnation and epoch stored for this owner.
/// @returns the owner, or null if the message must be ignored.
known_owner const* accept_owner(step& current,
                                identity::request_id const& id,
                                std::string_view sender,
                                std::uint64_t sender_incarnation)
{
    if (id.owner != sender || id.incarnation != sender_incarnation)
        return nullptr;
    auto& owner = current.state.relays.owners[id.owner];
    if (id.incarnation < owner.incarnation)
        return nullptr;
    if (id.incarnation > owner.incarnation)
        owner = {id.incarnation, id.epoch};
    owner.epoch = std::max(owner.epoch, id.epoch);
    return &owner;
}

/// Replies `unresolved` to an attempt older than the retention. Its record may have been dropped,
/// so it is unknown whether the attempt ran.
void reply_expired(step& current, identity::request_id const& id, std::uint32_t attempt)
{
    increment_counter(current, metric::refusals, reason::expired);
    messages::relay_reply const reply{id, attempt, outcome::unresolved, reason::expired, {}, {}};
    emit_peer(current, id.owner, id.incarnation, reply);
}

reason check_relay(step& current, messages::relay const& content, std::uint64_t fingerprint)
{
    if (view::find_service(current.world, content.service) == view::no_index)
        return reason::unknown_service;
    if (refuses_new_requests(current))
        return reason::draining;
    if (retry::is_quarantined(current.state.quarantine, fingerprint, current.now))
        return reason::quarantined;
    if (content.remaining_ms == 0)
        return reason::queue_deadline;
    if (current.state.relays.answer_bytes > max_relay_answer_bytes)
        return reason::daemon_overloaded;
    return reason::ok;
}

steer::destination
choose_server(step& current, messages::relay const& content, std::uint64_t fingerprint)
{
    auto const usage = list_usage(current.state.servers, current.world);
    steer::request_facts facts;
    facts.service = view::find_service(current.world, content.service);
    facts.is_foreign = true;
    facts.is_suspect =
        content.is_suspect || retry::is_suspect(current.state.quarantine, fingerprint, current.now);
    auto const spare_slots = steer::spare_foreign_slots(current.world, usage, current.now);
    if (facts.service >= spare_slots.size() || spare_slots[facts.service] == 0)
        return {.cause = reason::destination_refused};
    return steer::choose(current.world, usage, {}, facts, current.now, next_random(current));
}

void dispatch(step& current,
              relay_run& subject,
              messages::relay content,
              view::backend_server const& server)
{
    auto const is_suspect =
        content.is_suspect ||
        retry::is_suspect(current.state.quarantine, subject.fingerprint, current.now);
    take_slot(current, subject.run, server, subject.deadline, is_suspect);
    subject.is_dispatched = true;
    ++current.state.relays.open_runs;
    current.state.dispatches[subject.run.dispatch] = {nullptr, subject.attempt, &subject};
    events::dispatch_attempt command{subject.run.dispatch,
                                     server.name,
                                     server.address,
                                     server.port,
                                     subject.id,
                                     subject.attempt,
                                     subject.service,
                                     subject.deadline,
                                     std::move(content.body)};
    emit(current, events::backend_command{std::move(command)});
}

void dispatch_or_refuse(step& current, relay_run& subject, messages::relay content)
{
    subject.service = content.service;
    subject.deadline = current.now + std::chrono::milliseconds(content.remaining_ms);
    subject.fingerprint = retry::fingerprint(content.service, content.body);
    auto const cause = check_relay(current, content, subject.fingerprint);
    if (cause != reason::ok)
    {
        refuse(current, subject, cause);
        return;
    }
    auto const chosen = choose_server(current, content, subject.fingerprint);
    if (chosen.kind != steer::destination_kind::backend_server)
    {
        refuse(current, subject, reason::destination_refused);
        return;
    }
    dispatch(
        current, subject, std::move(content), current.world.backend_servers[chosen.backend_server]);
}

void apply_change(step& current, relay_run& subject, run_change change, std::string answer)
{
    switch (change)
    {
    case run_change::answered:
        record_run_time(current, subject.service, subject.run);
        retry::record_answered(
            current.state.quarantine, subject.fingerprint, subject.run.started_at);
        set_reply(current, subject, outcome::ran, reason::ok, std::move(answer));
        break;
    case run_change::refused:
        set_reply(current, subject, outcome::not_run, reason::backend_server_refused);
        break;
    case run_change::never_sent:
        set_reply(current, subject, outcome::not_run, reason::backend_server_unreachable);
        break;
    case run_change::cancelled:
        set_reply(current, subject, outcome::not_run, reason::cancelled);
        break;
    case run_change::broken_may_have_run:
        record_crash(current, subject.fingerprint, subject.service, subject.run.backend_server);
        set_reply(current, subject, outcome::unresolved, reason::connection_broken);
        break;
    case run_change::broken:
    case run_change::overdue:
    case run_change::none:
        break;
    }
}

/// Updates the count of open runs and the timer after a run may have changed.
void update_open_runs_and_timer(step& current, relay_run& subject, bool was_open)
{
    if (was_open && !is_open(subject))
        --current.state.relays.open_runs;
    arm(current.state.relays, subject);
}

void expire_answer(step& current, relay_run& subject)
{
    current.state.relays.answer_bytes -= subject.reply.answer.size();
    subject.answer_expires_at = kernel::monotonic_time::max();
    subject.reply.answer = std::string();
    subject.reply.result = outcome::unresolved;
    subject.reply.cause = reason::expired;
}

void apply_timer(step& current, relay_run& subject)
{
    if (!is_open(subject))
    {
        expire_answer(current, subject);
        return;
    }
    if (subject.run.state == run_state::running && subject.deadline <= current.now)
    {
        mark_overdue(current, subject.run, subject.id, subject.attempt);
        return;
    }
    stop_follow_up(current, subject.run);
    set_reply(current, subject, outcome::unresolved, reason::deadline);
}

/// Replies to a message about an attempt that is already known or older than the retention.
/// Otherwise adds a record for the attempt.
/// @returns the new record, or null if the attempt is known, too old, not from its owner or if the
/// table is full.
relay_run* add_run_if_new(step& current,
                          identity::request_id const& id,
                          std::uint32_t attempt,
                          std::string_view sender,
                          std::uint64_t sender_incarnation)
{
    auto const* const owner = accept_owner(current, id, sender, sender_incarnation);
    if (owner == nullptr)
        return nullptr;
    auto& table = current.state.relays;
    auto const* const known = find_run(table, id, attempt);
    if (known != nullptr)
    {
        if (known->has_reply)
            send_reply(current, *known);
        return nullptr;
    }
    if (is_before_retention(*owner, id.epoch))
    {
        reply_expired(current, id, attempt);
        return nullptr;
    }
    // No reply is sent, so the owner treats the attempt as unresolved.
    if (table.runs.size() >= max_relays)
        return nullptr;
    return &add_run(table, id, attempt);
}

} // namespace

void receive_relay(step& current,
                   messages::relay content,
                   std::string_view sender,
                   std::uint64_t sender_incarnation)
{
    auto* const added =
        add_run_if_new(current, content.id, content.attempt, sender, sender_incarnation);
    if (added == nullptr)
        return;
    dispatch_or_refuse(current, *added, std::move(content));
    arm(current.state.relays, *added);
}

void receive_relay_cancel(step& current,
                          messages::relay_cancel const& content,
                          std::string_view sender,
                          std::uint64_t sender_incarnation)
{
    auto* const added =
        add_run_if_new(current, content.id, content.attempt, sender, sender_incarnation);
    if (added != nullptr)
        set_reply(current, *added, outcome::not_run, reason::relay_silent);
}

void apply_relay_end(step& current, relay_run& subject, events::attempt_end end, std::string answer)
{
    auto const was_open = is_open(subject);
    auto const change = apply_run_end(current, subject.run, subject.id, subject.attempt, end);
    apply_change(current, subject, change, std::move(answer));
    update_open_runs_and_timer(current, subject, was_open);
}

void apply_relay_cancel_result(step& current, relay_run& subject, bool is_cancelled)
{
    auto const was_open = is_open(subject);
    auto const change = apply_run_cancel_result(current, subject.run, is_cancelled);
    apply_change(current, subject, change, {});
    update_open_runs_and_timer(current, subject, was_open);
}

void apply_relay_timers(step& current)
{
    auto& table = current.state.relays;
    while (!table.timers.empty() && table.timers.begin()->first.first <= current.now)
    {
        auto& subject = *table.timers.begin()->second;
        auto const was_open = is_open(subject);
        apply_timer(current, subject);
        update_open_runs_and_timer(current, subject, was_open);
    }
}

void drop_expired_relays(step& current)
{
    auto& table = current.state.relays;
    for (auto& [name, owner] : table.owners)
    {
        auto const* const host = find_host(current, name);
        if (host != nullptr && host->incarnation > owner.incarnation)
            owner = {host->incarnation, host->epoch};
        if (host != nullptr && host->incarnation == owner.incarnation)
            owner.epoch = std::max(owner.epoch, host->epoch);
        auto const oldest_epoch =
            owner.epoch > retention_epochs ? owner.epoch - retention_epochs : 0;
        auto item = table.runs.lower_bound({name, 0, 0, {}, 0});
        auto const last = table.runs.lower_bound({name, owner.incarnation, oldest_epoch, {}, 0});
        while (item != last)
        {
            auto& subject = *item->second;
            if (is_open(subject))
            {
                ++item;
                continue;
            }
            disarm(table, subject);
            table.answer_bytes -= subject.reply.answer.size();
            current.state.dispatches.erase(subject.run.dispatch);
            item = table.runs.erase(item);
        }
    }
}

} // namespace pistachiohub::forward
