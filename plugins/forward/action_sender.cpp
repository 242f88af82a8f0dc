#include "plugins/forward/action_sender.hpp"

#include "kernel/log.hpp"
#include "plugins/forward/unsent.hpp"

#include <utility>
#include <variant>

namespace pistachiohub::forward
{

namespace
{

constexpr std::string_view area = "forward";

struct counter_name
{
    std::string_view name;
    std::string_view label;
};

counter_name counter_name_for(metric which)
{
    switch (which)
    {
    case metric::refusals:
        return {"pistachiohub_refusals_total", "reason"};
    case metric::retries:
        return {"pistachiohub_retries_total", "reason"};
    case metric::outcomes:
        return {"pistachiohub_outcomes_total", "outcome"};
    case metric::late_settlements:
        break;
    }
    return {"pistachiohub_late_settlements_total", "outcome"};
}

/// Moves `message` into the mailbox, or leaves it unchanged if the mailbox is full.
/// @returns true if the message was moved.
template<class Message>
bool try_send(kernel::mailbox<Message>& target, Message& message)
{
    return target.try_push(std::move(message));
}

template<class Message>
void send_waiting(kernel::mailbox<Message>& target, std::deque<Message>& waiting)
{
    while (!waiting.empty() && try_send(target, waiting.front()))
        waiting.pop_front();
}

} // namespace

action_sender::action_sender(kernel::daemon_context& context)
    : m_context(context)
    , m_front(context.shared<kernel::mailbox<events::front_reply>>())
    , m_backend(context.shared<kernel::mailbox<events::backend_command>>())
    , m_peer(context.shared<kernel::mailbox<events::peer_command>>())
    , m_store(context.shared<kernel::mailbox<events::store_command>>())
    , m_control(context.shared<kernel::mailbox<events::control_event>>())
{
}

std::vector<events::forward_event> action_sender::send(std::vector<action> actions)
{
    for (auto& item : actions)
    {
        std::visit(
            [this](auto& content)
            {
                send(std::move(content));
            },
            item);
    }
    return std::exchange(m_failures, {});
}

void action_sender::send_backlog()
{
    send_waiting(m_front, m_waiting_replies);
    send_waiting(m_store, m_waiting_settlements);
}

// Replies are sent in order: a new reply must not overtake one in the backlog.
void action_sender::send(events::front_reply item)
{
    if (m_waiting_replies.empty() && try_send(m_front, item))
        return;
    if (m_waiting_replies.size() < max_backlog)
    {
        m_waiting_replies.push_back(std::move(item));
        return;
    }
    kernel::log_event(kernel::log_level::error, area, "answer_lost", {{"id", to_string(item.id)}});
}

void action_sender::send(events::backend_command item)
{
    if (!try_send(m_backend, item))
        m_failures.push_back(unsent_event(item));
}

void action_sender::send(events::peer_command item)
{
    if (try_send(m_peer, item))
        return;
    auto failure = unsent_event(std::move(item));
    if (failure.has_value())
        m_failures.push_back(std::move(*failure));
    else
        m_context.own_metrics().find_counter("pistachiohub_peer_messages_unsent_total").increment();
}

// Settlements are sent in order, because the flush at shutdown must come after all of them.
void action_sender::send(events::store_command item)
{
    if (auto* const flush = std::get_if<events::flush_settlement>(&item))
    {
        flush->flushed = [&context = m_context]()
        {
            context.finish_drain();
        };
    }
    if (m_waiting_settlements.empty() && try_send(m_store, item))
        return;
    auto failure = unsent_event(item);
    if (failure.has_value())
    {
        m_failures.push_back(std::move(*failure));
        return;
    }
    auto const is_flush = std::holds_alternative<events::flush_settlement>(item);
    if (is_flush || m_waiting_settlements.size() < max_backlog)
    {
        m_waiting_settlements.push_back(std::move(item));
        return;
    }
    auto const& lost = std::get<events::settle_request>(item);
    kernel::log_event(
        kernel::log_level::error,
        area,
        "settlement_lost",
        {{"id", to_string(lost.id)}, {"outcome", pistachiohub::to_string(lost.result)}});
}

// A usage report that does not fit is dropped, because the next one replaces it.
void action_sender::send(events::control_event item)
{
    if (!try_send(m_control, item))
        m_context.own_metrics().find_counter("pistachiohub_usage_reports_unsent_total").increment();
}

void action_sender::send(counter_increment const& item)
{
    auto const [name, label] = counter_name_for(item.which);
    m_context.own_metrics().find_counter(name, {label, item.label}).increment();
}

void action_sender::send(log_entry const& item)
{
    std::vector<kernel::log_field> fields;
    fields.reserve(item.fields.size());
    for (auto const& [key, value] : item.fields)
        fields.emplace_back(key, std::string_view(value));
    kernel::log_fields(item.level, area, item.event, fields);
}

} // namespace pistachiohub::forward
