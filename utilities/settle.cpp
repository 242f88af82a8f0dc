#include "libraries/interface/interface.hpp"
#include "libraries/ledger/settlement_report.hpp"
#include "libraries/object_store/object_store.hpp"
#include "utilities/tool_options.hpp"

#include <boost/json.hpp>

#include <iostream>
#include <sstream>

namespace pistachiohub::utilities
{

namespace
{

namespace json = boost::json;

constexpr unsigned http_ok = 200;

/// Texts of all settlement and journal objects.
struct ledger_texts
{
    std::vector<std::string> settlements;
    std::vector<std::string> journals;
};

struct parsed_ledgers
{
    std::vector<ledger::settlement_document> settlements;
    std::vector<ledger::journal_document> journals;
    std::size_t unreadable = 0;
};

struct described_id
{
    std::string id;
    std::string_view description;
};

std::vector<std::string> read_kind(object_store::client& store, std::string_view kind)
{
    auto const listed = store.list(kind);
    if (listed.end != object_store::status::ok)
        throw http::never_sent("the store cannot be read: " +
                               std::string(object_store::to_string(listed.end)));
    std::vector<std::string> texts;
    for (auto const& object : listed.objects)
        texts.push_back(object.value);
    return texts;
}

constexpr http::client_limits store_limits{std::chrono::seconds(2), std::chrono::seconds(60)};

/// Gateways keep no journal: a request that may run once is sent again only after proof.
ledger_texts read_from_store(kernel::endpoint const& endpoint,
                             interface::deployment_interface const& spoken)
{
    object_store::client store(endpoint, store_limits, spoken.store);
    return {read_kind(store, spoken.kinds.settlements), {}};
}

ledger_texts read_from_store(kernel::endpoint const& endpoint)
{
    object_store::client store(endpoint, store_limits);
    return {read_kind(store, "settlement"), read_kind(store, "journal")};
}

std::vector<std::string> to_texts(json::value const& values)
{
    std::vector<std::string> texts;
    for (auto const& value : values.as_array())
        texts.push_back(json::serialize(value));
    return texts;
}

/// Calls `parse` for each text; an object of another form is reported and left out.
template<class Document, class Parse>
void parse_all(std::vector<std::string> const& texts,
               std::vector<Document>& documents,
               std::size_t& unreadable,
               Parse parse)
{
    for (auto const& text : texts)
    {
        try
        {
            documents.push_back(parse(text));
        }
        catch (ledger::ledger_error const& failure)
        {
            ++unreadable;
            std::cerr << "pistachiohub: left out: " << failure.what() << '\n';
        }
    }
}

parsed_ledgers parse_ledgers(ledger_texts const& texts)
{
    parsed_ledgers result;
    parse_all(texts.settlements, result.settlements, result.unreadable, ledger::parse_settlement);
    parse_all(texts.journals, result.journals, result.unreadable, ledger::parse_journal);
    return result;
}

/// @param is_plain whether ids may be those that callers chose, without owner and incarnation.
std::vector<described_id>
describe_ids(std::string const& path, parsed_ledgers const& ledgers, bool is_plain)
{
    std::vector<described_id> described;
    std::istringstream lines(read_file(path));
    for (std::string line; std::getline(lines, line);)
    {
        if (line.ends_with('\r'))
            line.pop_back();
        if (line.empty())
            continue;
        auto const id = identity::parse_request_id(line);
        if (!id && is_plain)
        {
            described.push_back({line, ledger::describe_callers_id(line, ledgers.settlements)});
            continue;
        }
        if (!id)
        {
            std::string text(path);
            text.append(": '").append(line);
            throw usage_error(
                text.append("' is not of the form <owner>/<incarnation>/<epoch>/<unique>"));
        }
        described.push_back(
            {line, ledger::describe_id(*id, ledgers.settlements, ledgers.journals)});
    }
    return described;
}

void print_json(ledger::settlement_report const& report,
                std::vector<described_id> const& ids,
                std::size_t unreadable)
{
    json::object services;
    for (auto const& [name, counts] : report.services)
        services[name] = {
            {"ran", counts.ran}, {"not_run", counts.not_run}, {"unresolved", counts.unresolved}};
    json::array unresolved;
    for (auto const& entry : report.unresolved)
        unresolved.push_back({{"id", entry.id}, {"service", entry.service}});
    json::array described;
    for (auto const& entry : ids)
        described.push_back({{"id", entry.id}, {"ledger", entry.description}});
    std::cout << json::serialize(json::object{{"services", std::move(services)},
                                              {"unresolved", std::move(unresolved)},
                                              {"unlisted_unresolved", report.unlisted_unresolved},
                                              {"unreadable_objects", unreadable},
                                              {"ids", std::move(described)}})
              << '\n';
}

void print_text(ledger::settlement_report const& report, std::vector<described_id> const& ids)
{
    for (auto const& [name, counts] : report.services)
        std::cout << name << " ran=" << counts.ran << " not_run=" << counts.not_run
                  << " unresolved=" << counts.unresolved << '\n';
    std::cout << "unresolved ids: " << report.unresolved.size() << " listed, "
              << report.unlisted_unresolved << " not listed\n";
    for (auto const& entry : report.unresolved)
        std::cout << "  " << entry.id << ' ' << entry.service << '\n';
    for (auto const& entry : ids)
        std::cout << entry.id << ": " << entry.description << '\n';
}

exit_code settle(command_line const& options)
{
    ledger_texts texts;
    if (options.has("store") && options.has("interface"))
        texts = read_from_store(parse_endpoint(options.text("store")),
                                interface::find_interface(options.text("interface")));
    else if (options.has("store"))
        texts = read_from_store(parse_endpoint(options.text("store")));
    else
    {
        auto const answer = admin_client(options).get("/v1/settlement?journals=1");
        if (answer.status != http_ok)
            return report_refusal(answer);
        auto const document = json::parse(answer.body);
        texts = {to_texts(document.as_object().at("settlement")),
                 to_texts(document.as_object().at("journal"))};
    }
    auto const ledgers = parse_ledgers(texts);
    auto const report = ledger::make_report(ledgers.settlements, ledgers.journals);
    std::vector<described_id> ids;
    if (options.has("ids"))
        ids = describe_ids(options.text("ids"), ledgers, options.has("interface"));
    if (options.is_json())
        print_json(report, ids, ledgers.unreadable);
    else
        print_text(report, ids);
    // Sums that leave out an object must not pass for a whole settlement.
    return ledgers.unreadable == 0 ? exit_code::success : exit_code::failure;
}

exit_code run_settle(std::span<std::string const> arguments)
{
    command_line options(
        "settle [options]",
        "Prints the number of ids with each outcome for each service, and the ids that\n"
        "are unresolved. Reads the store itself or through a daemon's admin port.");
    options.admin_options();
    options.option("store", "the platform's object API, as address:port");
    options.option("interface", "interface of the gateways whose settlement the store holds");
    options.option("ids", "file with one id a line; prints what the ledger says of each");
    if (!options.parse(arguments))
        return exit_code::success;
    return run_tool(
        [&options]()
        {
            return settle(options);
        });
}

subcommand_registration const settle_registration({"settle", "print the settlement", run_settle});

} // namespace

} // namespace pistachiohub::utilities
