#pragma once

/// @file
/// Publication of immutable values from one owner thread to many reader threads.

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace pistachiohub::kernel
{

/// Holds the newest published value.
template<class Value>
class snapshot
{
public:
    /// Replaces the value; called by the owner thread.
    void publish(std::shared_ptr<Value const> value)
    {
        std::lock_guard const lock(m_mutex);
        m_value = std::move(value);
        m_generation.fetch_add(1, std::memory_order_release);
    }

    /// @returns the newest value, or null before the first publication.
    [[nodiscard]] std::shared_ptr<Value const> load() const
    {
        std::lock_guard const lock(m_mutex);
        return m_value;
    }

    /// @returns a number that grows with each publication; 0 before the first.
    [[nodiscard]] std::uint64_t generation() const
    {
        return m_generation.load(std::memory_order_acquire);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<Value const> m_value;
    std::atomic<std::uint64_t> m_generation{0};
};

/// A reader thread's cached copy. It takes the lock only after a new publication.
template<class Value>
class snapshot_reader
{
public:
    explicit snapshot_reader(snapshot<Value> const& source)
        : m_source(&source)
    {
    }

    /// @returns the newest value, or null before the first publication. The pointer stays valid
    /// until the next call.
    [[nodiscard]] Value const* get()
    {
        auto const generation = m_source->generation();
        if (generation != m_generation)
        {
            m_value = m_source->load();
            m_generation = generation;
        }
        return m_value.get();
    }

private:
    snapshot<Value> const* m_source;
    std::shared_ptr<Value const> m_value;
    std::uint64_t m_generation = 0;
};

} // namespace pistachiohub::kernel
