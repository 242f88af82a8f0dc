#pragma once

/// @file
/// A bounded ring that carries messages from any thread to the one thread that owns it.

#include <oneapi/tbb/concurrent_queue.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

namespace pistachiohub::kernel
{

/// Messages a mailbox holds unless stated otherwise.
inline constexpr std::ptrdiff_t default_mailbox_capacity = 8192;

/// A bounded multi-producer single-consumer ring with a wake-up callback.
///
/// Producers never block: a full ring refuses the message, which the producer treats as never sent.
template<class Message>
class mailbox
{
public:
    mailbox()
    {
        m_messages.set_capacity(default_mailbox_capacity);
    }

    /// Sets the largest number of waiting messages; call before the first push.
    void set_capacity(std::ptrdiff_t capacity)
    {
        m_messages.set_capacity(capacity);
    }

    /// Sets the callback that wakes the consumer. An empty function removes it.
    ///
    /// The callback runs on the producer's thread, once for each batch of messages. It is called
    /// at once when messages already wait.
    void set_wake_up(std::function<void()> wake_up)
    {
        {
            std::lock_guard const lock(m_wake_up_mutex);
            m_wake_up = std::move(wake_up);
        }
        m_is_awake.store(false);
        if (!m_messages.empty())
            wake();
    }

    /// Adds a message.
    /// @returns false when the ring is full; the message is then unchanged.
    [[nodiscard]] bool try_push(Message&& message)
    {
        if (!m_messages.try_push(std::move(message)))
            return false;
        wake();
        return true;
    }

    /// Hands every waiting message to `handle`; called by the consumer's thread only.
    template<class Handler>
    void drain(Handler&& handle)
    {
        // The flag is cleared first, so that a message pushed after the last pop wakes again.
        m_is_awake.store(false);
        Message message;
        while (m_messages.try_pop(message))
            handle(std::move(message));
    }

    /// Takes the oldest message and leaves the others; called by the consumer's thread only.
    /// @returns the message, or nothing when none waits.
    [[nodiscard]] std::optional<Message> try_pop()
    {
        std::optional<Message> message(std::in_place);
        if (!m_messages.try_pop(*message))
            message.reset();
        return message;
    }

    /// @returns an estimate of the number of waiting messages.
    [[nodiscard]] std::ptrdiff_t size() const
    {
        return m_messages.size();
    }

private:
    void wake()
    {
        if (m_is_awake.exchange(true))
            return;
        std::lock_guard const lock(m_wake_up_mutex);
        if (m_wake_up)
            m_wake_up();
        else
            m_is_awake.store(false);
    }

    oneapi::tbb::concurrent_bounded_queue<Message> m_messages;
    std::atomic<bool> m_is_awake{false};
    std::mutex m_wake_up_mutex;
    std::function<void()> m_wake_up;
};

} // namespace pistachiohub::kernel
