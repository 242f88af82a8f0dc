#pragma once

/// @file
/// Pure rules of fencing another incarnation's journal.

#include "libraries/events/forward_event.hpp"
#include "libraries/ledger/journal_document.hpp"

#include <string>

namespace pistachiohub::store
{

/// @returns the name of the journal and settlement objects of the owner of `id`.
[[nodiscard]] std::string object_name(identity::request_id const& id);

/// Latest plausible epochs lie this far beyond the minutes since the owner's start: for clocks that
/// differ between hosts, for ids of the next epoch, and for owners whose epoch runs ahead because
/// they were fenced several times within a minute.
inline constexpr std::uint32_t epoch_margin = 5;

/// @param wall_clock_ms milliseconds since 1970.
/// @returns the latest epoch that an id of `incarnation` can have. A fence of a later one would
/// close epochs of the far future.
[[nodiscard]] std::uint32_t latest_plausible_epoch(std::uint64_t incarnation,
                                                   std::uint64_t wall_clock_ms);

/// @returns a journal without entries that is closed through the epoch of `id`, written when the
/// owner has none yet. The owner's first append then fails, so an id of a closed epoch can never be
/// dispatched.
[[nodiscard]] ledger::journal_document make_closed_journal(identity::request_id const& id);

/// @returns what a journal that is closed through the epoch of `id` says of `id`.
[[nodiscard]] events::fence_result judge(ledger::journal_document const& closed,
                                         identity::request_id const& id);

/// @returns the result when the journal could not be fenced: nothing is proven.
[[nodiscard]] events::fence_result unknown_result(identity::request_id const& id);

} // namespace pistachiohub::store
