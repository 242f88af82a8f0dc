#include "plugins/store/journal_fence.hpp"

#include <cassert>

namespace pistachiohub::store
{

std::string object_name(identity::request_id const& id)
{
    return id.owner + '.' + std::to_string(id.incarnation);
}

ledger::journal_document make_closed_journal(identity::request_id const& id)
{
    ledger::journal_document journal;
    journal.host = id.owner;
    journal.incarnation = id.incarnation;
    journal.is_closed = true;
    return journal;
}

events::fence_result judge(ledger::journal_document const& closed, identity::request_id const& id)
{
    assert(closed.is_closed);
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
