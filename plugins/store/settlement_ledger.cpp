#include "plugins/store/settlement_ledger.hpp"

#include <algorithm>
#include <iterator>

namespace pistachiohub::store
{

settlement_ledger::settlement_ledger(std::string host, std::uint64_t incarnation)
    : m_host(std::move(host))
    , m_incarnation(incarnation)
{
}

bool settlement_ledger::is_own(identity::request_id const& id) const
{
    return id.owner == m_host && id.incarnation == m_incarnation;
}

ledger::outcome_counts& settlement_ledger::counts_of(std::uint32_t epoch,
                                                     std::string const& service)
{
    auto after = m_windows.upper_bound(epoch);
    if (after != m_windows.begin())
    {
        auto& window = std::prev(after)->second;
        if (epoch <= window.last_epoch)
            return window.services[service];
    }
    auto& window = m_windows[epoch];
    window.first_epoch = epoch;
    window.last_epoch = epoch;
    return window.services[service];
}

void settlement_ledger::list_unresolved(events::settle_request const& settled, std::uint32_t epoch)
{
    if (!m_unresolved.emplace(identity::to_string(settled.id), settled.service).second)
        return;
    if (is_own(settled.id))
        ++counts_of(epoch, settled.service).unresolved;
    ++m_generation;
}

void settlement_ledger::settle_unresolved(events::settle_request const& settled,
                                          std::uint32_t epoch)
{
    m_unresolved.erase(identity::to_string(settled.id));
    ++m_generation;
    if (!is_own(settled.id))
        return;
    auto& counts = counts_of(epoch, settled.service);
    --counts.unresolved;
    ++ledger::count_of(counts, settled.result);
}

void settlement_ledger::count(events::settle_request const& settled, std::uint32_t current_epoch)
{
    auto const epoch = std::min(settled.id.epoch, current_epoch);
    if (settled.result == outcome::unresolved)
    {
        list_unresolved(settled, epoch);
        return;
    }
    if (m_unresolved.contains(identity::to_string(settled.id)))
    {
        settle_unresolved(settled, epoch);
        return;
    }
    // An id that was unresolved and is no longer listed has been settled before.
    if (settled.was_unresolved || !is_own(settled.id))
        return;
    ++ledger::count_of(counts_of(epoch, settled.service), settled.result);
    ++m_generation;
}

std::uint64_t settlement_ledger::generation() const
{
    return m_generation;
}

// Merges neighbours in the older half, so that recent windows stay separate longest.
bool settlement_ledger::merge_oldest_windows()
{
    auto const pairs = (m_windows.size() + 3) / 4;
    if (m_windows.size() < 2)
        return false;
    auto window = m_windows.begin();
    for (std::size_t merged = 0; merged < pairs; ++merged)
    {
        auto const next = std::next(window);
        if (next == m_windows.end())
            break;
        window->second.last_epoch = next->second.last_epoch;
        for (auto const& [service, counts] : next->second.services)
        {
            auto& sum = window->second.services[service];
            sum.ran += counts.ran;
            sum.not_run += counts.not_run;
            sum.unresolved += counts.unresolved;
        }
        window = m_windows.erase(next);
        if (window == m_windows.end())
            break;
    }
    return true;
}

std::string settlement_ledger::text(std::uint64_t flush, std::size_t largest_text)
{
    ledger::settlement_document document;
    document.host = m_host;
    document.incarnation = m_incarnation;
    document.flush = flush;
    for (auto const& [id, service] : m_unresolved)
        document.unresolved.push_back({id, service});
    while (true)
    {
        document.windows.clear();
        for (auto const& [first, window] : m_windows)
            document.windows.push_back(window);
        auto text = ledger::to_text(document);
        if (text.size() <= largest_text || (!merge_oldest_windows() && document.unresolved.empty()))
            return text;
        // With a single window left, half of the ids move from the list to a count.
        if (m_windows.size() < 2)
        {
            auto const removed = (document.unresolved.size() + 1) / 2;
            document.unlisted_unresolved += removed;
            document.unresolved.resize(document.unresolved.size() - removed);
        }
    }
}

} // namespace pistachiohub::store
