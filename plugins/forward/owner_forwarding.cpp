#include "plugins/forward/owner_forwarding.hpp"

#include "plugins/forward/conclusion.hpp"
#include "plugins/forward/step.hpp"

#include <algorithm>

namespace pistachiohub::forward
{

namespace
{

/// @returns why the owner cannot be asked, or `ok`.
reason owner_fault(step const& current, identity::request_id const& id)
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

bool has_journal(step const& current, std::string_view service)
{
    auto const* const found = find_service(current, service);
    return found != nullptr && found->kind == configuration::service_kind::at_most_once &&
           found->journal == configuration::journal_mode::write_ahead;
}

void answer(step& current,
            forward_wait const& wait,
            outcome result,
            reason cause,
            std::string const& body = {})
{
    if (result != outcome::ran)
        increment_counter(current, metric::refusals, cause);
    answer_waiter(current, wait.recipient, wait.id, wait.service, result, cause, body);
}

/// @returns true if the wait goes on because the owner's journal is read.
bool try_fence(step& current, forward_wait& wait)
{
    if (!has_journal(current, wait.service))
        return false;
    wait.is_fencing = true;
    emit(current, events::store_command{events::fence_owner{wait.id}});
    return true;
}

/// @returns true if the wait has ended.
bool owner_failed(step& current, forward_wait& wait, reason cause)
{
    if (try_fence(current, wait))
        return false;
    answer(current, wait, outcome::unresolved, cause);
    return true;
}

void send_submit(step& current, std::uint64_t exchange, forward_wait const& wait, std::string body)
{
    messages::submit content{exchange,
                             wait.id,
                             wait.service,
                             remaining_ms(current, wait.recipient.deadline),
                             std::move(body)};
    emit_peer(current, wait.id.owner, wait.id.incarnation, std::move(content));
}

/// @returns true if the wait has ended.
bool check(step& current, forward_wait& wait)
{
    if (wait.recipient.deadline <= current.now)
    {
        answer(current,
               wait,
               outcome::unresolved,
               wait.is_fencing ? reason::owner_unreachable : reason::deadline);
        return true;
    }
    if (wait.is_fencing)
        return false;
    auto const fault = owner_fault(current, wait.id);
    return fault != reason::ok && owner_failed(current, wait, fault);
}

} // namespace

bool is_empty(forwarding_table const& table)
{
    return table.waits.empty();
}

void forward_to_owner(step& current, events::caller_request subject)
{
    forward_wait wait{{{}, 0, subject.exchange, subject.deadline},
                      *subject.id,
                      std::move(subject.service),
                      false};
    // The only copy of this id ends here, so that it is proven not to run.
    if (subject.transmission == 1)
    {
        answer(current, wait, outcome::not_run, reason::not_owner);
        return;
    }
    auto& table = current.state.forwards;
    if (table.waits.size() >= most_forwards)
    {
        answer(current, wait, outcome::unresolved, reason::daemon_overloaded);
        return;
    }
    auto const fault = owner_fault(current, wait.id);
    if (fault != reason::ok && owner_failed(current, wait, fault))
        return;
    auto const exchange = table.next_exchange++;
    if (fault == reason::ok)
        send_submit(current, exchange, wait, std::move(subject.body));
    table.waits.emplace(exchange, std::move(wait));
}

void apply_submit_reply(step& current,
                        messages::submit_reply const& reply,
                        std::string_view sender,
                        std::uint64_t sender_incarnation)
{
    auto& waits = current.state.forwards.waits;
    auto const found = waits.find(reply.exchange);
    if (found == waits.end() || found->second.id.owner != sender ||
        found->second.id.incarnation != sender_incarnation)
        return;
    auto const wait = std::move(found->second);
    waits.erase(found);
    answer(current, wait, reply.result, reply.cause, reply.answer);
}

void apply_submit_unsent(step& current, messages::submit const& unsent)
{
    auto& waits = current.state.forwards.waits;
    auto const found = waits.find(unsent.exchange);
    if (found == waits.end() || found->second.is_fencing || found->second.id != unsent.id)
        return;
    if (owner_failed(current, found->second, reason::owner_unreachable))
        waits.erase(found);
}

void apply_fence(step& current, events::fence_result const& result)
{
    std::erase_if(current.state.forwards.waits,
                  [&](auto const& entry)
                  {
                      auto const& wait = entry.second;
                      if (!wait.is_fencing || wait.id != result.id)
                          return false;
                      answer(current, wait, result.result, result.cause);
                      return true;
                  });
}

void check_forwards(step& current)
{
    auto& waits = current.state.forwards.waits;
    for (auto item = waits.begin(); item != waits.end();)
    {
        if (check(current, item->second))
            item = waits.erase(item);
        else
            ++item;
    }
}

} // namespace pistachiohub::forward
