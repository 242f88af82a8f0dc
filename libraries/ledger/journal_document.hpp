#pragma once

/// @file
/// JSON form of a journal object; see section 7 of the design page.

#include "libraries/identity/request_id.hpp"
#include "libraries/ledger/settlement_document.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pistachiohub::ledger
{

/// What a journal says of an id.
enum class journal_entry
{
    /// The intent to dispatch is written, the outcome is not.
    pending,
    ran,
    not_run,
    unresolved
};

/// The journal of one daemon incarnation.
struct journal_document
{
    std::string host;
    std::uint64_t incarnation = 0;
    /// Number of the append that made this text, for recognising an append whose answer was lost.
    std::uint64_t append = 0;
    /// Newest epoch that another daemon has fenced: the owner adds no id of an epoch up to it.
    std::optional<std::uint32_t> closed_through_epoch;
    /// Entries of older epochs have been removed.
    std::uint32_t first_epoch = 0;
    /// Entries by epoch and unique part.
    std::map<std::uint32_t, std::unordered_map<std::string, journal_entry>> epochs;
};

/// @returns the entry of `id`, or nothing.
[[nodiscard]] std::optional<journal_entry> find_entry(journal_document const& journal,
                                                      identity::request_id const& id);

/// @returns true if no intent of `epoch` may be added to the journal any more.
[[nodiscard]] bool is_closed(journal_document const& journal, std::uint32_t epoch);

/// Raises the newest closed epoch to `epoch`; a higher one remains.
/// @returns true if it was raised.
bool close_through(journal_document& journal, std::uint32_t epoch);

/// @returns the JSON text.
[[nodiscard]] std::string to_text(journal_document const& journal);

/// @throws ledger_error when the text is not of the documented form.
[[nodiscard]] journal_document parse_journal(std::string_view text);

} // namespace pistachiohub::ledger
