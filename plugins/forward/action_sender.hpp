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

/// Most answers and most settlements that wait for room in the mailbox of their duty.
inline constexpr std::size_t most_backlog = 100000;

/// Sends actions to the mailboxes of the other duties.
class action_sender
{
public:
    explicit action_sender(kernel::daemon_context& context);

    /// Carries out `actions` in order.
    /// @returns the events that report what could not be sent.
    [[nodiscard]] std::vector<events::forward_event> send(std::vector<action> actions);

    /// Sends again what had no room in its mailbox before.
    void send_backlog();

private:
    void send(events::front_reply item);
    void send(events::backend_command item);
    void send(events::peer_command item);
    void send(events::store_command item);
    void send(events::control_event item);
    void send(metric_count const& item);
    void send(log_note const& item);

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
