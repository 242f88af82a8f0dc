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

json::object to_json(crash_report const& crash)
{
    return {{"fingerprint", std::to_string(crash.fingerprint)},
            {"backend_server", crash.backend_server},
            {"began_at_ms", crash.began_at_ms},
            {"crashed_at_ms", crash.crashed_at_ms}};
}

json::object to_json(quarantined_request const& known)
{
    return {{"fingerprint", std::to_string(known.fingerprint)},
            {"ends_at_ms", known.ends_at_ms},
            {"decided_at_ms", known.decided_at_ms},
            {"failed_trials", known.failed_trials},
            {"trial_opens_at_ms", known.trial_opens_at_ms},
            {"decided_by", known.decided_by}};
}

// Daemons of earlier versions do not write all members.
template<class Number>
Number number_or_zero(json::object const& members, std::string_view name)
{
    auto const* const found = members.if_contains(name);
    return found == nullptr ? Number{} : found->to_number<Number>();
}

crash_report parse_report(json::object const& members)
{
    return {parse_fingerprint(members.at("fingerprint").as_string()),
            std::string(members.at("backend_server").as_string()),
            number_or_zero<std::uint64_t>(members, "began_at_ms"),
            number_or_zero<std::uint64_t>(members, "crashed_at_ms")};
}

quarantined_request parse_decision(json::object const& members, bool is_released)
{
    auto const* const decided_by = members.if_contains("decided_by");
    return {parse_fingerprint(members.at("fingerprint").as_string()),
            members.at("ends_at_ms").to_number<std::uint64_t>(),
            number_or_zero<std::uint64_t>(members, "decided_at_ms"),
            number_or_zero<std::uint32_t>(members, "failed_trials"),
            number_or_zero<std::uint64_t>(members, "trial_opens_at_ms"),
            is_released,
            decided_by == nullptr ? std::string() : std::string(decided_by->as_string())};
}

void append_decisions(std::vector<quarantined_request>& decisions,
                      json::object const& members,
                      std::string_view name,
                      bool is_released)
{
    auto const* const listed = members.if_contains(name);
    if (listed == nullptr)
        return;
    for (auto const& known : listed->as_array())
        decisions.push_back(parse_decision(known.as_object(), is_released));
}

} // namespace

std::string to_document(entry_host const& host)
{
    json::object followers;
    for (auto const& follower : host.followers)
        followers[follower.name] = follower.incarnation;
    json::array crashes;
    for (auto const& crash : host.crashes.reports)
        crashes.push_back(to_json(crash));
    // Daemons of earlier versions take each entry of `quarantines` for one that is in force.
    json::array quarantines;
    json::array releases;
    for (auto const& known : host.crashes.quarantines)
        (known.is_released ? releases : quarantines).push_back(to_json(known));
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
                                        {"quarantines", std::move(quarantines)},
                                        {"releases", std::move(releases)}});
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
            host.crashes.reports.push_back(parse_report(crash.as_object()));
        append_decisions(host.crashes.quarantines, members, "quarantines", false);
        append_decisions(host.crashes.quarantines, members, "releases", true);
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
    for (auto const& report : earlier.reports)
    {
        if (std::find(own.reports.begin(), own.reports.end(), report) == own.reports.end())
            own.reports.push_back(report);
    }
    for (auto const& decision : earlier.quarantines)
    {
        auto const same = std::find_if(own.quarantines.begin(),
                                       own.quarantines.end(),
                                       [&decision](quarantined_request const& known)
                                       {
                                           return known.fingerprint == decision.fingerprint;
                                       });
        if (same == own.quarantines.end())
            own.quarantines.push_back(decision);
        else if (same->decided_at_ms < decision.decided_at_ms)
            *same = decision;
    }
}

} // namespace pistachiohub::fleet
