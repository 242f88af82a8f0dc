#include "plugins/forward/owner_forwarding.hpp"

#include "plugins/forward/conclusion.hpp"
#include "plugins/forward/step.hpp"

#include <algorithm>

namespace pistachiohub::forward
{

namespace
{

/// @returns `ok` if the request can be forwarded to its owner, or the reason why not.
reason check_owner(step const& current, identity::request_id const& id)
{
    if (id.owner == current.world.own_name)
        return reason::owner_restarted;
    auto const* const host = find_host(current, id.owner);
    if (host == nullptr)
        return reason::owner_unreachable;
    if (host->incarnation != 0 && host->incarnation != id.incarnation)
        return reason::owner_restarted;
    if (host->state == view::member_state::silent)
        return reason::owner_unreachable;
    return reason::ok;
}

bool has_write_ahead_journal(step const& current, std::string_view service)
{
    auto const* const found = find_service(current, service);
    return found != nullptr && found->kind == configuration::service_kind::at_most_once &&
           found->journal == configuration::journal_mode::write_ahead;
}

void answer_caller(step& current,
                   pending_forward const& entry,
                   outcome result,
                   reason cause,
                   std::string const& body = {})
{
    if (result != outcome::ran)
        increment_counter(current, metric::refusals, cause);
    answer_waiter(current, entry.recipient, entry.id, entry.service, result, cause, body);
}

/// Starts to fence the owner's journal, if the service has one.
/// @returns true if the caller now waits for the result of the fence.
bool try_start_fence(step& current, pending_forward& entry)
{
    if (!has_write_ahead_journal(current, entry.service))
        return false;
    entry.is_fencing = true;
    emit(current, events::store_command{events::fence_owner{entry.id}});
    return true;
}

/// Falls back to the journal of an unreachable or restarted owner. If the service has none, answers
/// the caller with `unresolved`.
/// @returns true if the caller was answered.
bool handle_unavailable_owner(step& current, pending_forward& entry, reason cause)
{
    if (try_start_fence(current, entry))
        return false;
    answer_caller(current, entry, outcome::unresolved, cause);
    return true;
}

void send_submit(step& current,
                 std::uint64_t exchange,
                 pending_forward const& entry,
                 std::string body)
{
    messages::submit content{exchange,
                             entry.id,
                             entry.service,
                             remaining_ms(current, entry.recipient.deadline),
                             std::move(body)};
    emit_peer(current, entry.id.owner, entry.id.incarnation, std::move(content));
}

/// Checks the deadline and whether the owner is still reachable.
/// @returns true if the caller was answered.
bool check_entry(step& current, pending_forward& entry)
{
    if (entry.recipient.deadline <= current.now)
    {
        answer_caller(current,
                      entry,
                      outcome::unresolved,
                      entry.is_fencing ? reason::owner_unreachable : reason::deadline);
        return true;
    }
    if (entry.is_fencing)
        return false;
    auto const fault = check_owner(current, entry.id);
    return fault != reason::ok && handle_unavailable_owner(current, entry, fault);
}

} // namespace

bool is_empty(forwarding_table const& table)
{
    return table.pending.empty();
}

void forward_to_owner(step& current, events::caller_request subject)
{
    pending_forward entry{{{}, 0, subject.exchange, subject.deadline},
                          *subject.id,
                          std::move(subject.service),
                          false};
    // This is the only transmission of the id and it is not forwarded, so it cannot run anywhere.
    if (subject.transmission == 1)
    {
        answer_caller(current, entry, outcome::not_run, reason::not_owner);
        return;
    }
    auto& table = current.state.forwards;
    if (table.pending.size() >= max_pending_forwards)
    {
        answer_caller(current, entry, outcome::unresolved, reason::daemon_overloaded);
        return;
    }
    auto const fault = check_owner(current, entry.id);
    if (fault != reason::ok && handle_unavailable_owner(current, entry, fault))
        return;
    auto const exchange = table.next_exchange++;
    if (fault == reason::ok)
        send_submit(current, exchange, entry, std::move(subject.body));
    table.pending.emplace(exchange, std::move(entry));
}

void apply_submit_reply(step& current,
                        messages::submit_reply const& reply,
                        std::string_view sender,
                        std::uint64_t sender_incarnation)
{
    auto& pending = current.state.forwards.pending;
    auto const found = pending.find(reply.exchange);
    if (found == pending.end() || found->second.id.owner != sender ||
        found->second.id.incarnation != sender_incarnation)
        return;
    auto const entry = std::move(found->second);
    pending.erase(found);
    answer_caller(current, entry, reply.result, reply.cause, reply.answer);
}

void apply_submit_unsent(step& current, messages::submit const& unsent)
{
    auto& pending = current.state.forwards.pending;
    auto const found = pending.find(unsent.exchange);
    if (found == pending.end() || found->second.is_fencing || found->second.id != unsent.id)
        return;
    if (handle_unavailable_owner(current, found->second, reason::owner_unreachable))
        pending.erase(found);
}

void apply_fence(step& current, events::fence_result const& result)
{
    std::erase_if(current.state.forwards.pending,
                  [&](auto const& item)
                  {
                      auto const& entry = item.second;
                      if (!entry.is_fencing || entry.id != result.id)
                          return false;
                      answer_caller(current, entry, result.result, result.cause);
                      return true;
                  });
}

void check_pending_forwards(step& current)
{
    auto& pending = current.state.forwards.pending;
    for (auto item = pending.begin(); item != pending.end();)
    {
        if (check_entry(current, item->second))
            item = pending.erase(item);
        else
            ++item;
    }
}

} // namespace pistachiohub::forward
