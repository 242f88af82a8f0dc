#include "libraries/ledger/settlement_report.hpp"

#include <algorithm>
#include <optional>

namespace pistachiohub::ledger
{

namespace
{

template<class Document>
bool is_of_owner(Document const& document, identity::request_id const& id)
{
    return document.host == id.owner && document.incarnation == id.incarnation;
}

outcome to_outcome(journal_entry entry)
{
    switch (entry)
    {
    case journal_entry::ran:
        return outcome::ran;
    case journal_entry::not_run:
        return outcome::not_run;
    case journal_entry::pending:
    case journal_entry::unresolved:
        break;
    }
    return outcome::unresolved;
}

std::optional<outcome> find_in_journals(identity::request_id const& id,
                                        std::span<journal_document const> journals)
{
    for (auto const& journal : journals)
    {
        if (!is_of_owner(journal, id))
            continue;
        if (auto const entry = find_entry(journal, id))
            return to_outcome(*entry);
    }
    return std::nullopt;
}

void add(outcome_counts& sum, outcome_counts const& counts)
{
    sum.ran += counts.ran;
    sum.not_run += counts.not_run;
    sum.unresolved += counts.unresolved;
}

/// Unresolved ids by text form, with whether their owner has counted them.
struct listed_id
{
    std::string service;
    bool is_counted = false;
};

void list_unresolved(settlement_document const& settlement,
                     std::map<std::string, listed_id, std::less<>>& listed)
{
    for (auto const& entry : settlement.unresolved)
    {
        auto& known = listed[entry.id];
        known.service = entry.service;
        auto const id = identity::parse_request_id(entry.id);
        known.is_counted = known.is_counted || (id && is_of_owner(settlement, *id));
    }
}

} // namespace

settlement_report make_report(std::span<settlement_document const> settlements,
                              std::span<journal_document const> journals)
{
    settlement_report report;
    std::map<std::string, listed_id, std::less<>> listed;
    for (auto const& settlement : settlements)
    {
        for (auto const& window : settlement.windows)
        {
            for (auto const& [service, counts] : window.services)
                add(report.services[service], counts);
        }
        report.unlisted_unresolved += settlement.unlisted_unresolved;
        list_unresolved(settlement, listed);
    }
    for (auto const& [text, known] : listed)
    {
        auto const id = identity::parse_request_id(text);
        auto result = outcome::unresolved;
        if (id && !known.is_counted)
            result = find_in_journals(*id, journals).value_or(outcome::unresolved);
        if (!known.is_counted)
            ++count_of(report.services[known.service], result);
        if (result == outcome::unresolved)
            report.unresolved.push_back({text, known.service});
    }
    return report;
}

std::string_view describe_id(identity::request_id const& id,
                             std::span<settlement_document const> settlements,
                             std::span<journal_document const> journals)
{
    if (auto const result = find_in_journals(id, journals))
        return to_string(*result);
    auto const text = identity::to_string(id);
    bool is_counted = false;
    for (auto const& settlement : settlements)
    {
        for (auto const& entry : settlement.unresolved)
        {
            if (entry.id == text)
                return to_string(outcome::unresolved);
        }
        if (!is_of_owner(settlement, id))
            continue;
        is_counted =
            std::any_of(settlement.windows.begin(),
                        settlement.windows.end(),
                        [&id](settlement_window const& window)
                        {
                            return id.epoch >= window.first_epoch && id.epoch <= window.last_epoch;
                        });
    }
    return is_counted ? "counted in window" : "unknown";
}

std::string_view describe_callers_id(std::string_view id,
                                     std::span<settlement_document const> settlements)
{
    auto const encoded = identity::encode_callers_id(id);
    for (auto const& settlement : settlements)
    {
        for (auto const& entry : settlement.unresolved)
        {
            if (identity::unique_part_of(entry.id) == encoded)
                return "unresolved";
        }
    }
    return "not listed";
}

} // namespace pistachiohub::ledger
