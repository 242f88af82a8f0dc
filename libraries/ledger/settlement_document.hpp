#pragma once

/// @file
/// JSON form of a settlement object; see section 8 of the design page.

#include "kernel/error.hpp"
#include "libraries/outcome/outcome.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::ledger
{

/// A settlement or journal object is not of the documented form.
class ledger_error : public kernel::error
{
public:
    using error::error;
};

/// Number of ids with each outcome.
struct outcome_counts
{
    std::uint64_t ran = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unresolved = 0;

    friend bool operator==(outcome_counts const&, outcome_counts const&) = default;
};

/// @returns the member of `counts` for `value`.
[[nodiscard]] std::uint64_t& count_of(outcome_counts& counts, outcome value);

/// Counts of the ids whose epochs are in a range of 60 s epochs.
struct settlement_window
{
    std::uint32_t first_epoch = 0;
    std::uint32_t last_epoch = 0;
    std::map<std::string, outcome_counts, std::less<>> services;
};

/// An id that may have run.
struct unresolved_id
{
    std::string id;
    std::string service;
};

/// The settlement of one daemon incarnation.
struct settlement_document
{
    std::string host;
    std::uint64_t incarnation = 0;
    /// Number of the write that made this text, for recognising a write whose answer was lost.
    std::uint64_t flush = 0;
    /// Sorted by epoch, without overlap.
    std::vector<settlement_window> windows;
    std::vector<unresolved_id> unresolved;
    /// Unresolved ids that are counted but did not fit into the list.
    std::uint64_t unlisted_unresolved = 0;
};

/// @returns the JSON text.
[[nodiscard]] std::string to_text(settlement_document const& document);

/// @throws ledger_error when the text is not of the documented form.
[[nodiscard]] settlement_document parse_settlement(std::string_view text);

} // namespace pistachiohub::ledger
