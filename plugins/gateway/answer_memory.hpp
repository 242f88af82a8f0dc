#pragma once

/// @file
/// Accounting of the memory that answers occupy on their way from backend servers to callers.

#include <cstddef>

namespace pistachiohub::gateway
{

/// Memory for answers of one daemon. Used on the gateway's thread only.
struct answer_memory
{
    /// Bytes that all answers together may occupy before reading from backend servers slows down to
    /// what callers take.
    std::size_t limit = std::size_t{64} << 20;
    std::size_t held = 0;
};

/// @returns whether no further bytes should be read ahead of callers.
[[nodiscard]] inline bool is_exhausted(answer_memory const& memory)
{
    return memory.held >= memory.limit;
}

/// The part of the memory that one owner occupies; it is released with the claim.
class memory_claim
{
public:
    explicit memory_claim(answer_memory& memory)
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

private:
    answer_memory& m_memory;
    std::size_t m_bytes = 0;
};

} // namespace pistachiohub::gateway
