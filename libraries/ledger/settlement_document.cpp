#include "libraries/ledger/settlement_document.hpp"

#include <boost/json.hpp>

namespace pistachiohub::ledger
{

namespace
{

namespace json = boost::json;

json::object to_json(settlement_window const& window)
{
    json::object services;
    for (auto const& [name, counts] : window.services)
        services[name] = {
            {"ran", counts.ran}, {"not_run", counts.not_run}, {"unresolved", counts.unresolved}};
    return {{"first_epoch", window.first_epoch},
            {"last_epoch", window.last_epoch},
            {"services", std::move(services)}};
}

settlement_window to_window(json::value const& value)
{
    auto const& members = value.as_object();
    settlement_window window;
    window.first_epoch = members.at("first_epoch").to_number<std::uint32_t>();
    window.last_epoch = members.at("last_epoch").to_number<std::uint32_t>();
    for (auto const& service : members.at("services").as_object())
    {
        auto const& counts = service.value().as_object();
        window.services[std::string(service.key())] = {
            counts.at("ran").to_number<std::uint64_t>(),
            counts.at("not_run").to_number<std::uint64_t>(),
            counts.at("unresolved").to_number<std::uint64_t>()};
    }
    return window;
}

settlement_document to_document(json::value const& value)
{
    auto const& members = value.as_object();
    settlement_document document;
    document.host = members.at("host").as_string();
    document.incarnation = members.at("incarnation").to_number<std::uint64_t>();
    document.flush = members.at("flush").to_number<std::uint64_t>();
    document.unlisted_unresolved = members.at("unlisted_unresolved").to_number<std::uint64_t>();
    for (auto const& window : members.at("windows").as_array())
        document.windows.push_back(to_window(window));
    for (auto const& entry : members.at("unresolved").as_array())
    {
        auto const& fields = entry.as_object();
        document.unresolved.push_back({std::string(fields.at("id").as_string()),
                                       std::string(fields.at("service").as_string())});
    }
    return document;
}

} // namespace

std::uint64_t& count_of(outcome_counts& counts, outcome value)
{
    switch (value)
    {
    case outcome::ran:
        return counts.ran;
    case outcome::not_run:
        return counts.not_run;
    case outcome::unresolved:
        break;
    }
    return counts.unresolved;
}

std::string to_text(settlement_document const& document)
{
    json::array windows;
    for (auto const& window : document.windows)
        windows.push_back(to_json(window));
    json::array unresolved;
    for (auto const& entry : document.unresolved)
        unresolved.push_back({{"id", entry.id}, {"service", entry.service}});
    json::object const result{{"host", document.host},
                              {"incarnation", document.incarnation},
                              {"flush", document.flush},
                              {"windows", std::move(windows)},
                              {"unresolved", std::move(unresolved)},
                              {"unlisted_unresolved", document.unlisted_unresolved}};
    return json::serialize(result);
}

settlement_document parse_settlement(std::string_view text)
{
    try
    {
        return to_document(json::parse(text));
    }
    // Boost.JSON reports a missing member or another type by exceptions of the standard library.
    catch (std::exception const& failure)
    {
        throw ledger_error(std::string("not a settlement object: ") + failure.what());
    }
}

} // namespace pistachiohub::ledger
