#pragma once

/// @file
/// Lets a duty sleep until a time, a wake-up or a stop.

#include "kernel/clock.hpp"

#include <condition_variable>
#include <mutex>

namespace pistachiohub::store
{

/// A wake-up flag and a stop flag that a thread can wait for.
class wake_signal
{
public:
    /// Ends the current or the next wait.
    void wake()
    {
        {
            std::lock_guard const lock(m_mutex);
            m_is_awake = true;
        }
        m_changed.notify_one();
    }

    /// Ends all waits from now on.
    void stop()
    {
        {
            std::lock_guard const lock(m_mutex);
            m_is_stopping = true;
        }
        m_changed.notify_one();
    }

    /// Waits until `end`, wake() or stop().
    /// @returns false once stop() was called.
    bool wait_until(kernel::monotonic_time end)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_until(lock,
                             end,
                             [this]()
                             {
                                 return m_is_awake || m_is_stopping;
                             });
        m_is_awake = false;
        return !m_is_stopping;
    }

    /// @returns true once stop() was called.
    [[nodiscard]] bool is_stopping()
    {
        std::lock_guard const lock(m_mutex);
        return m_is_stopping;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_is_awake = false;
    bool m_is_stopping = false;
};

} // namespace pistachiohub::store
