#include "libraries/fleet/entry_host_document.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <exception>
#include <utility>

namespace pistachiohub::fleet
{

namespace
{

namespace json = boost::json;

template<class Entry>
void append_missing(std::vector<Entry>& own, std::vector<Entry> const& earlier)
{
    for (auto const& entry : earlier)
    {
        if (std::find(own.begin(), own.end(), entry) == own.end())
            own.push_back(entry);
    }
}

// Written as text, because other programs read the numbers of JSON as doubles.
std::uint64_t parse_fingerprint(std::string_view text)
{
    std::uint64_t fingerprint = 0;
    auto const* const end = text.data() + text.size();
    auto const [position, failure] = std::from_chars(text.data(), end, fingerprint);
    if (failure != std::errc{} || position != end)
        throw entry_host_error("fingerprint: expected a whole number");
    return fingerprint;
}

} // namespace

std::string to_document(entry_host const& host)
{
    json::object followers;
    for (auto const& follower : host.followers)
        followers[follower.name] = follower.incarnation;
    json::array crashes;
    for (auto const& crash : host.crashes.reports)
        crashes.push_back({{"fingerprint", std::to_string(crash.fingerprint)},
                           {"backend_server", crash.backend_server}});
    json::array quarantines;
    for (auto const& known : host.crashes.quarantines)
        quarantines.push_back(
            {{"fingerprint", std::to_string(known.fingerprint)}, {"ends_at_ms", known.ends_at_ms}});
    return json::serialize(json::object{{"address", host.callers.address},
                                        {"caller_port", host.callers.port},
                                        {"relay_port", host.relay_port},
                                        {"failure_domain", host.failure_domain},
                                        {"region", host.region},
                                        {"incarnation", host.incarnation},
                                        {"report", host.report},
                                        {"is_leaving", host.is_leaving},
                                        {"capacity", host.capacity},
                                        {"followers", std::move(followers)},
                                        {"crashes", std::move(crashes)},
                                        {"quarantines", std::move(quarantines)}});
}

entry_host parse_entry_host(std::string_view name, std::string_view text)
{
    try
    {
        auto const document = json::parse(text);
        auto const& members = document.as_object();
        entry_host host;
        host.name = name;
        host.callers.address = std::string(members.at("address").as_string());
        if (!kernel::is_host_address(host.callers.address))
            throw entry_host_error("address: expected the IP address of a host");
        host.callers.port = members.at("caller_port").to_number<std::uint16_t>();
        host.relay_port = members.at("relay_port").to_number<std::uint16_t>();
        host.failure_domain = std::string(members.at("failure_domain").as_string());
        host.region = std::string(members.at("region").as_string());
        host.incarnation = members.at("incarnation").to_number<std::uint64_t>();
        host.report = members.at("report").to_number<std::uint64_t>();
        host.is_leaving = members.at("is_leaving").as_bool();
        host.capacity = members.at("capacity").to_number<double>();
        for (auto const& follower : members.at("followers").as_object())
            host.followers.push_back(
                {std::string(follower.key()), follower.value().to_number<std::uint64_t>()});
        for (auto const& crash : members.at("crashes").as_array())
            host.crashes.reports.push_back({parse_fingerprint(crash.at("fingerprint").as_string()),
                                            std::string(crash.at("backend_server").as_string())});
        // Daemons of earlier versions write no quarantines.
        if (auto const* const quarantines = members.if_contains("quarantines"))
            for (auto const& known : quarantines->as_array())
                host.crashes.quarantines.push_back(
                    {parse_fingerprint(known.at("fingerprint").as_string()),
                     known.at("ends_at_ms").to_number<std::uint64_t>()});
        return host;
    }
    // Boost.JSON reports a document of another form by exceptions of the standard library.
    catch (std::exception const& failure)
    {
        throw entry_host_error("entry host " + std::string(name) + ": " + failure.what());
    }
}

void inherit_crashes(crash_knowledge& own, crash_knowledge const& earlier)
{
    append_missing(own.reports, earlier.reports);
    append_missing(own.quarantines, earlier.quarantines);
}

} // namespace pistachiohub::fleet
