#pragma once

/// @file
/// Delivery of messages that may not be lost to a mailbox that may be full.

#include "kernel/mailbox.hpp"

#include <cstddef>
#include <deque>
#include <utility>

namespace pistachiohub::kernel
{

/// Keeps the messages that a full mailbox refused, in order, for a later try. Used by one thread.
///
/// Only for messages whose number is bounded elsewhere, such as results of requests in flight.
template<class Message>
class backlog
{
public:
    explicit backlog(mailbox<Message>& target)
        : m_target(target)
    {
    }

    /// Sends a message, or keeps it behind those that already wait.
    void push(Message&& message)
    {
        m_waiting.push_back(std::move(message));
        flush();
    }

    /// Sends the messages that wait, as far as the mailbox takes them; called from time to time.
    void flush()
    {
        while (!m_waiting.empty() && m_target.try_push(std::move(m_waiting.front())))
            m_waiting.pop_front();
    }

    /// @returns the number of messages that wait.
    [[nodiscard]] std::size_t size() const
    {
        return m_waiting.size();
    }

private:
    mailbox<Message>& m_target;
    std::deque<Message> m_waiting;
};

} // namespace pistachiohub::kernel
