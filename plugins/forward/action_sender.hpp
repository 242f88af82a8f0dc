#pragma once

/// @file
/// Carries out the coordinator's actions on the forward duty's thread.

#include "kernel/daemon_context.hpp"
#include "kernel/mailbox.hpp"
#include "libraries/events/forward_event.hpp"
#include "plugins/forward/action.hpp"

#include <cstddef>
#include <deque>
#include <vector>

namespace pistachiohub::forward
{

/// Maximum number of replies, and of settlements, that are held back while the receiving mailbox is
/// full.
inline constexpr std::size_t max_backlog = 100000;

/// Sends messages to the mailboxes of the other duties, increments counters and writes log lines.
class action_sender
{
public:
    explicit action_sender(kernel::daemon_context& context);

    /// Carries out `actions` in order. Replies and settlements that do not fit into a full mailbox
    /// are put into a backlog.
    /// @returns events that tell the coordinator which of its other messages could not be sent.
    [[nodiscard]] std::vector<events::forward_event> send(std::vector<action> actions);

    /// Sends messages of the backlog until a mailbox is full again.
    void send_backlog();

private:
    void send(events::front_reply item);
    void send(events::backend_command item);
    void send(events::peer_command item);
    void send(events::store_command item);
    void send(events::control_event item);
    void send(counter_increment const& item);
    void send(log_entry const& item);

    kernel::daemon_context& m_context;
    kernel::mailbox<events::front_reply>& m_front;
    kernel::mailbox<events::backend_command>& m_backend;
    kernel::mailbox<events::peer_command>& m_peer;
    kernel::mailbox<events::store_command>& m_store;
    kernel::mailbox<events::control_event>& m_control;
    std::deque<events::front_reply> m_waiting_replies;
    std::deque<events::store_command> m_waiting_settlements;
    std::vector<events::forward_event> m_failures;
};

} // namespace pistachiohub::forward
