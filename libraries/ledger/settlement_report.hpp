#pragma once

/// @file
/// Pure sums over all settlement and journal objects, for the partner's settlement.

#include "libraries/ledger/journal_document.hpp"
#include "libraries/ledger/settlement_document.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::ledger
{

/// What all daemons together have counted.
struct settlement_report
{
    std::map<std::string, outcome_counts, std::less<>> services;
    /// Each unresolved id once, sorted by id.
    std::vector<unresolved_id> unresolved;
    std::uint64_t unlisted_unresolved = 0;
};

/// Sums the settlements. An unresolved id that only daemons other than its owner list is added
/// once; when a journal holds its outcome, that outcome is counted.
[[nodiscard]] settlement_report make_report(std::span<settlement_document const> settlements,
                                            std::span<journal_document const> journals);

/// @returns what the ledger says of `id`: `ran`, `not_run` or `unresolved` when a journal or a list
/// holds it, otherwise `counted in window` when its owner has counted ids of its epoch, otherwise
/// `unknown`.
[[nodiscard]] std::string_view describe_id(identity::request_id const& id,
                                           std::span<settlement_document const> settlements,
                                           std::span<journal_document const> journals);

/// @param id as the caller chose it, without the daemon that had it.
/// @returns `unresolved` when a list holds it, otherwise `not listed`: it ran or did not run, as
/// its caller was told, or no daemon has had it.
[[nodiscard]] std::string_view
describe_callers_id(std::string_view id, std::span<settlement_document const> settlements);

} // namespace pistachiohub::ledger
