#include "plugins/forward/relay_sender.hpp"

#include "plugins/forward/attempts.hpp"
#include "plugins/forward/relay_limits.hpp"
#include "plugins/forward/step.hpp"

namespace pistachiohub::forward
{

namespace
{

attempt* find_relayed_attempt(request* subject, std::uint32_t number)
{
    if (subject == nullptr || number == 0 || number > subject->attempts.size())
        return nullptr;
    auto& item = subject->attempts[number - 1];
    return item.entry_host.empty() ? nullptr : &item;
}

bool is_final(run_state state)
{
    return state == run_state::answered || state == run_state::not_run;
}

void send_query(step& current, request const& subject, attempt& item)
{
    emit_peer(current,
              item.entry_host,
              item.entry_host_incarnation,
              messages::relay_cancel{subject.id, item.number});
    item.run.check_at = current.now + relay_query_interval;
}

void apply_unresolved(step& current,
                      request& subject,
                      attempt& item,
                      messages::relay_reply const& reply)
{
    // The receiver keeps awaiting its run, so a later reply may still give the outcome.
    if (item.run.state == run_state::unknown)
        return;
    handle_unproven_attempt(current, subject, item, reply.cause, reply.backend_server);
}

} // namespace

void apply_relay_reply(step& current,
                       messages::relay_reply reply,
                       std::string_view sender,
                       std::uint64_t sender_incarnation)
{
    auto* const subject = find(current.state.requests, reply.id);
    auto* const item = find_relayed_attempt(subject, reply.attempt);
    if (item == nullptr || item->entry_host != sender ||
        item->entry_host_incarnation != sender_incarnation || is_final(item->run.state))
        return;
    switch (reply.result)
    {
    case outcome::ran:
        handle_answered_attempt(current, *subject, *item, std::move(reply.answer));
        break;
    case outcome::not_run:
        handle_not_run_attempt(current, *subject, *item, reply.cause);
        break;
    case outcome::unresolved:
        apply_unresolved(current, *subject, *item, reply);
        break;
    }
    update_timer(current.state.requests, *subject);
}

void apply_relay_unsent(step& current, messages::relay const& unsent)
{
    auto* const subject = find(current.state.requests, unsent.id);
    auto* const item = find_relayed_attempt(subject, unsent.attempt);
    if (item == nullptr || is_final(item->run.state))
        return;
    if (item->is_shift)
        undo_shift(current, subject->service);
    handle_not_run_attempt(current, *subject, *item, reason::relay_unsent);
    update_timer(current.state.requests, *subject);
}

bool is_receiver_gone(step const& current, attempt const& item)
{
    auto const* const host = find_host(current, item.entry_host);
    return host == nullptr || host->state == view::member_state::silent ||
           host->incarnation != item.entry_host_incarnation;
}

void query_relay(step& current, request& subject, attempt& item)
{
    if (subject.phase != request_phase::closed)
    {
        send_query(current, subject, item);
        return;
    }
    if (item.queries_left == 0)
    {
        item.run.state = run_state::unknown;
        item.cause = reason::relay_silent;
        release_credit(current.state.credits, item, subject.service);
        return;
    }
    --item.queries_left;
    send_query(current, subject, item);
}

void mark_relay_overdue(step& current, request& subject, attempt& item)
{
    if (!is_pending(item.run.state))
        return;
    item.run.state = run_state::overdue;
    item.queries_left = max_relay_queries_after_deadline;
    send_query(current, subject, item);
}

} // namespace pistachiohub::forward
