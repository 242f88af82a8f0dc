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

/// @returns a closed journal without entries, written when the owner has none yet. The owner's
/// first append then fails, so an id absent from it can never be dispatched.
[[nodiscard]] ledger::journal_document make_closed_journal(identity::request_id const& id);

/// @returns what a closed journal says of `id`.
[[nodiscard]] events::fence_result judge(ledger::journal_document const& closed,
                                         identity::request_id const& id);

/// @returns the result when the journal could not be fenced: nothing is proven.
[[nodiscard]] events::fence_result unknown_result(identity::request_id const& id);

} // namespace pistachiohub::store
