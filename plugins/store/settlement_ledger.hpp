#pragma once

/// @file
/// Pure counters of the settlement.

#include "libraries/events/store_command.hpp"
#include "libraries/ledger/settlement_document.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace pistachiohub::store
{

/// Cumulative counts of one incarnation. An id belongs to the window of its own epoch, so that a
/// later settlement of an unresolved id changes the window in which it was counted.
class settlement_ledger
{
public:
    settlement_ledger(std::string host, std::uint64_t incarnation);

    /// Counts the outcome of an id, or moves an unresolved id to its settled outcome.
    ///
    /// Ids of other owners are listed while unresolved but not counted: their owner counts them.
    /// @param current_epoch later epochs, which only a faulty caller names, count as this one.
    void count(events::settle_request const& settled, std::uint32_t current_epoch);

    /// @returns a number that grows with each change.
    [[nodiscard]] std::uint64_t generation() const;

    /// @returns the whole settlement; old windows are merged until the text has at most
    /// `largest_text` bytes.
    [[nodiscard]] std::string text(std::uint64_t flush, std::size_t largest_text);

private:
    [[nodiscard]] bool is_own(identity::request_id const& id) const;
    [[nodiscard]] ledger::outcome_counts& counts_of(std::uint32_t epoch,
                                                    std::string const& service);
    void list_unresolved(events::settle_request const& settled, std::uint32_t epoch);
    void settle_unresolved(events::settle_request const& settled, std::uint32_t epoch);
    [[nodiscard]] bool merge_oldest_windows();

    std::string m_host;
    std::uint64_t m_incarnation;
    std::uint64_t m_generation = 0;
    /// By first epoch.
    std::map<std::uint32_t, ledger::settlement_window> m_windows;
    /// Service of each unresolved id, by text form of the id.
    std::map<std::string, std::string> m_unresolved;
};

} // namespace pistachiohub::store
