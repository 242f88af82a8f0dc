#include "plugins/store/host_list.hpp"

#include <boost/json.hpp>

namespace pistachiohub::store
{

namespace
{

namespace json = boost::json;

std::string read_text(json::object const& members, std::string_view key)
{
    return std::string(members.at(key).as_string());
}

std::uint16_t read_port(json::object const& members, std::string_view key)
{
    return members.at(key).to_number<std::uint16_t>();
}

events::listed_entry_host to_entry_host(json::object const& members)
{
    return {read_text(members, "name"),
            read_text(members, "address"),
            read_port(members, "caller_port"),
            read_port(members, "peer_port"),
            read_port(members, "admin_port"),
            read_text(members, "state") == "leaving"};
}

events::listed_backend_server to_backend_server(json::object const& members)
{
    return {read_text(members, "name"),
            read_text(members, "address"),
            read_port(members, "port"),
            read_text(members, "service"),
            read_text(members, "state") == "leaving"};
}

// One damaged entry must not hide the other hosts of its failure domain.
template<class Entry, class Convert>
void read_entries(json::value const& value,
                  std::vector<Entry>& entries,
                  std::size_t& skipped,
                  Convert convert)
{
    for (auto const& item : value.as_array())
    {
        try
        {
            entries.push_back(convert(item.as_object()));
        }
        catch (std::exception const&)
        {
            ++skipped;
        }
    }
}

} // namespace

parsed_host_list
parse_host_list(std::string_view failure_domain, std::string_view text, bool has_backend_servers)
{
    parsed_host_list result;
    result.list.failure_domain = failure_domain;
    try
    {
        auto const document = json::parse(text);
        auto const& members = document.as_object();
        read_entries(
            members.at("entry_hosts"), result.list.entry_hosts, result.skipped, to_entry_host);
        if (has_backend_servers)
            read_entries(members.at("backend_servers"),
                         result.list.backend_servers,
                         result.skipped,
                         to_backend_server);
    }
    // Boost.JSON reports a missing member or another type by exceptions of the standard library.
    catch (std::exception const& failure)
    {
        throw host_list_error("host list of " + std::string(failure_domain) + ": " +
                              failure.what());
    }
    return result;
}

} // namespace pistachiohub::store
