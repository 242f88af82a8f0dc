#include "plugins/store/journal_fence.hpp"

#include "kernel/daemon.hpp"

#include <algorithm>
#include <cassert>
#include <limits>

namespace pistachiohub::store
{

std::uint32_t latest_plausible_epoch(std::uint64_t incarnation, std::uint64_t wall_clock_ms)
{
    constexpr std::uint64_t epoch_ms = 60'000;
    auto const started_at_ms = incarnation >> kernel::incarnation_random_bits;
    auto const running_ms = wall_clock_ms - std::min(wall_clock_ms, started_at_ms);
    auto const latest = running_ms / epoch_ms + epoch_margin;
    constexpr std::uint64_t largest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(latest, largest));
}

std::string object_name(identity::request_id const& id)
{
    return id.owner + '.' + std::to_string(id.incarnation);
}

ledger::journal_document make_closed_journal(identity::request_id const& id)
{
    ledger::journal_document journal;
    journal.host = id.owner;
    journal.incarnation = id.incarnation;
    journal.closed_through_epoch = id.epoch;
    return journal;
}

events::fence_result judge(ledger::journal_document const& closed, identity::request_id const& id)
{
    assert(ledger::is_closed(closed, id.epoch));
    // Entries of removed epochs are gone, so absence proves nothing.
    if (id.epoch < closed.first_epoch)
        return {id, outcome::unresolved, reason::expired};
    auto const entry = ledger::find_entry(closed, id);
    if (!entry)
        return {id, outcome::not_run, reason::fenced};
    switch (*entry)
    {
    case ledger::journal_entry::ran:
        return {id, outcome::ran, reason::fenced};
    case ledger::journal_entry::not_run:
        return {id, outcome::not_run, reason::fenced};
    case ledger::journal_entry::pending:
    case ledger::journal_entry::unresolved:
        break;
    }
    return {id, outcome::unresolved, reason::fenced};
}

events::fence_result unknown_result(identity::request_id const& id)
{
    return {id, outcome::unresolved, reason::owner_unreachable};
}

} // namespace pistachiohub::store
