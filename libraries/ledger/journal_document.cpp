#include "libraries/ledger/journal_document.hpp"

#include <boost/json.hpp>

#include <array>
#include <charconv>

namespace pistachiohub::ledger
{

namespace
{

namespace json = boost::json;

// In the order of the enumeration. One letter each, because the object is written up to 30 times a
// second.
constexpr std::array<char, 4> entry_letters{'p', 'r', 'n', 'u'};

journal_entry to_entry(std::string_view letter)
{
    for (std::size_t index = 0; index < entry_letters.size(); ++index)
    {
        if (letter.size() == 1 && letter.front() == entry_letters.at(index))
            return static_cast<journal_entry>(index);
    }
    throw ledger_error("not a journal entry: " + std::string(letter));
}

std::uint32_t to_epoch(std::string_view text)
{
    std::uint32_t epoch = 0;
    auto const* const end = text.data() + text.size();
    auto const [position, failure] = std::from_chars(text.data(), end, epoch);
    if (failure != std::errc{} || position != end)
        throw ledger_error("not an epoch: " + std::string(text));
    return epoch;
}

journal_document to_document(json::value const& value)
{
    auto const& members = value.as_object();
    journal_document journal;
    journal.host = members.at("host").as_string();
    journal.incarnation = members.at("incarnation").to_number<std::uint64_t>();
    journal.append = members.at("append").to_number<std::uint64_t>();
    if (auto const& bound = members.at("closed_through_epoch"); !bound.is_null())
        journal.closed_through_epoch = bound.to_number<std::uint32_t>();
    journal.first_epoch = members.at("first_epoch").to_number<std::uint32_t>();
    for (auto const& epoch : members.at("epochs").as_object())
    {
        auto& entries = journal.epochs[to_epoch(epoch.key())];
        for (auto const& entry : epoch.value().as_object())
            entries[std::string(entry.key())] = to_entry(entry.value().as_string());
    }
    return journal;
}

// Unique parts need no escapes in JSON: they are of `[A-Za-z0-9_-]`.
void append_entries(std::string& text,
                    std::unordered_map<std::string, journal_entry> const& entries)
{
    char separator = '{';
    for (auto const& [unique, entry] : entries)
    {
        text.push_back(separator);
        text.append("\"").append(unique).append("\":\"");
        text.push_back(entry_letters.at(static_cast<std::size_t>(entry)));
        text.push_back('"');
        separator = ',';
    }
    text.append(entries.empty() ? "{}" : "}");
}

} // namespace

std::optional<journal_entry> find_entry(journal_document const& journal,
                                        identity::request_id const& id)
{
    auto const epoch = journal.epochs.find(id.epoch);
    if (epoch == journal.epochs.end())
        return std::nullopt;
    auto const entry = epoch->second.find(id.unique);
    if (entry == epoch->second.end())
        return std::nullopt;
    return entry->second;
}

bool is_closed(journal_document const& journal, std::uint32_t epoch)
{
    return journal.closed_through_epoch && epoch <= *journal.closed_through_epoch;
}

bool close_through(journal_document& journal, std::uint32_t epoch)
{
    if (is_closed(journal, epoch))
        return false;
    journal.closed_through_epoch = epoch;
    return true;
}

std::string to_text(journal_document const& journal)
{
    auto const bound =
        journal.closed_through_epoch ? json::value(*journal.closed_through_epoch) : json::value();
    json::object const head{{"host", journal.host},
                            {"incarnation", journal.incarnation},
                            {"append", journal.append},
                            {"closed_through_epoch", bound},
                            {"first_epoch", journal.first_epoch}};
    auto text = json::serialize(head);
    text.pop_back();
    text.append(",\"epochs\":{");
    bool is_first = true;
    for (auto const& [epoch, entries] : journal.epochs)
    {
        text.append(is_first ? "\"" : ",\"").append(std::to_string(epoch)).append("\":");
        append_entries(text, entries);
        is_first = false;
    }
    text.append("}}");
    return text;
}

journal_document parse_journal(std::string_view text)
{
    try
    {
        return to_document(json::parse(text));
    }
    catch (ledger_error const&)
    {
        throw;
    }
    // Boost.JSON reports a missing member or another type by exceptions of the standard library.
    catch (std::exception const& failure)
    {
        throw ledger_error(std::string("not a journal object: ") + failure.what());
    }
}

} // namespace pistachiohub::ledger
