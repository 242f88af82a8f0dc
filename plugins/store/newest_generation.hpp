#pragma once

/// @file
/// The newest generation of the store that any reader of this daemon has seen. Writers write again
/// what a restored store has lost.

#include <atomic>
#include <cstdint>

namespace pistachiohub::store
{

/// Shared by the readers and writers of the store. All calls are thread-safe.
class newest_generation
{
public:
    /// Notes the generation in an answer; 0 if it names none.
    void note(std::uint64_t generation)
    {
        auto known = m_value.load();
        while (known < generation && !m_value.compare_exchange_weak(known, generation))
        {
        }
    }

    /// @returns 0 while no answer has named a generation.
    [[nodiscard]] std::uint64_t value() const
    {
        return m_value.load();
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

} // namespace pistachiohub::store
