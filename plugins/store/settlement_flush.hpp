#pragma once

/// @file
/// Pure rules of writing the settlement by conditional updates.

#include "kernel/clock.hpp"
#include "libraries/object_store/object_store.hpp"
#include "plugins/store/settlement_ledger.hpp"

#include <optional>

namespace pistachiohub::store
{

/// Shortest time between two writes of the settlement, unless the settings give another.
inline constexpr auto settlement_interval = std::chrono::seconds(1);

/// A conditional update that is due.
struct due_write
{
    std::uint64_t expected_version = 0;
    std::string text;
};

/// Decides when the settlement is written and what an answer of the store means.
///
/// The text is cumulative, so a write that is repeated because its answer was lost counts once.
class settlement_flush
{
public:
    explicit settlement_flush(settlement_ledger& counters,
                              kernel::duration interval = settlement_interval);

    /// @returns the write that is due, or nothing.
    [[nodiscard]] std::optional<due_write> next_write(kernel::monotonic_time now);

    /// @returns true when the object must be read before the next write.
    [[nodiscard]] bool must_read_back(kernel::monotonic_time now) const;

    void
    on_write(object_store::write_result const& result, kernel::monotonic_time now, double random);
    void on_read_back(object_store::read_result const& result,
                      kernel::monotonic_time now,
                      double random);

    /// Makes the next write due at once unless the store is failing; used before the daemon exits.
    void hurry();

    /// Makes the next call due at once also after failures.
    void hurry_after_failures();

    /// Notes that the store was restored from an older copy, which may lack what was written. The
    /// next write is due at once.
    void write_again();

    /// @returns true when the store holds all counts.
    [[nodiscard]] bool is_written() const;

    /// @returns when to call next_write() or must_read_back() again, or nothing.
    [[nodiscard]] std::optional<kernel::monotonic_time> next_due() const;

private:
    void delay(kernel::monotonic_time now, double random);
    void accept(std::uint64_t version, kernel::monotonic_time now);

    [[nodiscard]] kernel::duration interval_for(std::size_t size) const;

    settlement_ledger& m_ledger;
    kernel::duration m_interval;
    std::uint64_t m_version = 0;
    std::uint64_t m_flush = 0;
    /// Missing if the store may lack what was written.
    std::optional<std::uint64_t> m_written_generation = 0;
    std::uint64_t m_attempted_generation = 0;
    std::size_t m_attempted_size = 0;
    bool m_is_in_doubt = false;
    unsigned m_failures = 0;
    kernel::monotonic_time m_not_before;
};

} // namespace pistachiohub::store
