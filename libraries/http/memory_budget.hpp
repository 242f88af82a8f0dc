#pragma once

/// @file
/// Accounting of memory that several connections share.

#include <cstddef>

namespace pistachiohub::http
{

/// Memory that all connections of one kind share. Used on one thread only.
struct memory_budget
{
    std::size_t limit = std::size_t{64} << 20;
    std::size_t held = 0;
};

/// @returns whether the budget is used up.
[[nodiscard]] inline bool is_exhausted(memory_budget const& memory)
{
    return memory.held >= memory.limit;
}

/// The part of a budget that one owner occupies; it is released with the claim.
class memory_claim
{
public:
    explicit memory_claim(memory_budget& memory)
        : m_memory(memory)
    {
    }

    ~memory_claim()
    {
        set(0);
    }

    memory_claim(memory_claim const&) = delete;
    memory_claim& operator=(memory_claim const&) = delete;

    /// Changes the claim to `bytes`.
    void set(std::size_t bytes)
    {
        m_memory.held = m_memory.held - m_bytes + bytes;
        m_bytes = bytes;
    }

    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    memory_budget& m_memory;
    std::size_t m_bytes = 0;
};

} // namespace pistachiohub::http
