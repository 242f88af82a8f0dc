#include "plugins/store/journal_fencer.hpp"

#include "plugins/store/journal_fence.hpp"

#include <algorithm>

namespace pistachiohub::store
{

namespace
{

using object_store::status;

constexpr std::string_view journal_kind = "journal";
// A live owner appends up to 30 times a second and may win some of the races.
constexpr int most_attempts = 20;
constexpr std::size_t most_kept_journals = 4;

} // namespace

journal_fencer::journal_fencer(object_store::client& client)
    : m_client(client)
{
}

std::optional<ledger::journal_document> journal_fencer::close(identity::request_id const& id)
{
    auto const name = object_name(id);
    // After a conflict or a lost answer the object is read again before anything is decided.
    for (int attempt = 0; attempt < most_attempts; ++attempt)
    {
        auto const found = m_client.read(journal_kind, name);
        if (found.end != status::ok && found.end != status::missing)
            return std::nullopt;
        auto journal = found.end == status::ok ? ledger::parse_journal(found.found.value)
                                               : make_closed_journal(id);
        if (found.end == status::ok && !ledger::close_through(journal, id.epoch))
            return journal;
        auto const end =
            m_client.write(journal_kind, name, found.found.version, ledger::to_text(journal)).end;
        if (end == status::ok)
            return journal;
        if (end != status::conflict && end != status::lost_answer)
            return std::nullopt;
    }
    return std::nullopt;
}

events::fence_result journal_fencer::fence(identity::request_id const& id)
{
    auto const name = object_name(id);
    auto const kept = std::find_if(m_closed.begin(),
                                   m_closed.end(),
                                   [&name](auto const& entry)
                                   {
                                       return entry.first == name;
                                   });
    if (kept != m_closed.end() && ledger::is_closed(kept->second, id.epoch))
        return judge(kept->second, id);
    try
    {
        auto journal = close(id);
        if (!journal)
            return unknown_result(id);
        if (kept != m_closed.end())
            m_closed.erase(kept);
        m_closed.emplace_back(name, std::move(*journal));
        if (m_closed.size() > most_kept_journals)
            m_closed.pop_front();
        return judge(m_closed.back().second, id);
    }
    catch (ledger::ledger_error const&)
    {
        return unknown_result(id);
    }
}

} // namespace pistachiohub::store
