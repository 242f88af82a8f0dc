#pragma once

/// @file
/// What the kernel hands to each plug-in: settings, metrics and objects shared by type.

#include "kernel/clock.hpp"
#include "kernel/metrics.hpp"
#include "kernel/settings.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <typeindex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pistachiohub::kernel
{

/// The state of a daemon that all of its duties share.
class daemon_context
{
public:
    daemon_context(settings own_settings, std::uint64_t incarnation)
        : m_settings(std::move(own_settings))
        , m_incarnation(incarnation)
    {
    }

    /// @returns the settings of this daemon.
    [[nodiscard]] settings const& own_settings() const
    {
        return m_settings;
    }

    /// @returns the number that is new at each start of this daemon.
    [[nodiscard]] std::uint64_t incarnation() const
    {
        return m_incarnation;
    }

    /// @returns the metrics registry.
    [[nodiscard]] metrics& own_metrics()
    {
        return m_metrics;
    }

    /// @returns the one object of type `Shared`, default-constructed on first use.
    ///
    /// Used for mailboxes and snapshots, each identified by its message or value type.
    template<class Shared>
    [[nodiscard]] Shared& shared()
    {
        std::lock_guard const lock(m_mutex);
        auto& slot = m_shared[std::type_index(typeid(Shared))];
        if (!slot)
            slot = std::make_shared<Shared>();
        return *static_cast<Shared*>(slot.get());
    }

    /// Starts a graceful shutdown; idempotent and callable from any thread.
    void begin_drain()
    {
        std::vector<std::function<void()>> listeners;
        {
            std::lock_guard const lock(m_mutex);
            if (m_drain_began_at)
                return;
            m_drain_began_at = monotonic_now();
            m_is_draining = true;
            listeners = m_drain_listeners;
        }
        for (auto const& notify : listeners)
            notify();
    }

    /// Has `notify` called when a graceful shutdown begins, on the thread that begins it. To be
    /// called before the daemon runs.
    void on_drain(std::function<void()> notify)
    {
        std::lock_guard const lock(m_mutex);
        m_drain_listeners.push_back(std::move(notify));
    }

    /// @returns true once a graceful shutdown has begun.
    [[nodiscard]] bool is_draining() const
    {
        return m_is_draining.load();
    }

    /// @returns when a graceful shutdown began, or nothing while none has.
    [[nodiscard]] std::optional<monotonic_time> drain_began_at()
    {
        std::lock_guard const lock(m_mutex);
        return m_drain_began_at;
    }

    /// Says that no request is in flight and all counters are flushed, so the process may exit.
    void finish_drain()
    {
        m_is_drained.store(true);
    }

    /// @returns true once the process may exit.
    [[nodiscard]] bool is_drained() const
    {
        return m_is_drained.load();
    }

private:
    settings m_settings;
    std::uint64_t m_incarnation;
    metrics m_metrics;
    std::mutex m_mutex;
    std::unordered_map<std::type_index, std::shared_ptr<void>> m_shared;
    std::vector<std::function<void()>> m_drain_listeners;
    std::optional<monotonic_time> m_drain_began_at;
    std::atomic<bool> m_is_draining{false};
    std::atomic<bool> m_is_drained{false};
};

} // namespace pistachiohub::kernel
