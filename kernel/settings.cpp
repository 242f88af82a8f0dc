#include "kernel/settings.hpp"

#include "kernel/settings_reader.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace pistachiohub::kernel
{

namespace
{

namespace json = boost::json;
using detail::settings_reader;

seed_peer read_seed_peer(json::value const& value, std::string path)
{
    settings_reader reader(value, std::move(path));
    seed_peer result;
    result.name = reader.text("name", detail::name_rule, detail::is_name);
    result.failure_domain = reader.text("failure_domain", detail::name_rule, detail::is_name);
    result.address = reader.text("address", detail::address_rule, detail::is_address);
    result.peer_port = reader.port("peer_port");
    reader.refuse_unknown_keys();
    return result;
}

std::vector<seed_peer> read_seed_peers(settings_reader& reader)
{
    auto const* const value = reader.find("seed_peers");
    if (value == nullptr)
        return {};
    if (!value->is_array())
        throw settings_error("seed_peers", json::serialize(*value), "an array of objects");
    std::vector<seed_peer> peers;
    for (auto const& item : value->get_array())
        peers.push_back(read_seed_peer(item, "seed_peers[" + std::to_string(peers.size()) + ']'));
    return peers;
}

log_level read_log_level(settings_reader& reader)
{
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    auto const* const value = reader.find("log_level");
    if (value == nullptr)
        return log_level::info;
    if (value->is_string())
    {
        auto const position = std::find(names.begin(), names.end(), value->get_string());
        if (position != names.end())
            return static_cast<log_level>(position - names.begin());
    }
    throw settings_error("log_level", json::serialize(*value), "debug, info, warning or error");
}

void read_request_interface(settings_reader& reader, settings& result)
{
    result.caller_port = reader.port("caller_port");
    result.peer_port = reader.port("peer_port");
    result.admin_port = reader.port("admin_port");
    result.peer_key = reader.text("peer_key", detail::key_rule, detail::is_key);
    result.admin_key = reader.text("admin_key", detail::key_rule, detail::is_key);
    result.seed_peers = read_seed_peers(reader);
}

} // namespace

settings_error::settings_error(std::string_view key,
                               std::string_view value,
                               std::string_view permitted)
    : error("setting " + std::string(key) + " is " + std::string(value) +
            "; permitted: " + std::string(permitted))
{
}

settings parse_settings(std::string_view text)
{
    boost::system::error_code failure;
    auto const document = json::parse(text, failure);
    if (failure)
        throw settings_error("(document)", failure.message(), "a JSON object");
    settings_reader reader(document, "");
    settings result;
    result.name = reader.text("name", detail::name_rule, detail::is_name);
    result.failure_domain = reader.text("failure_domain", detail::name_rule, detail::is_name);
    result.address = reader.text("address", detail::address_rule, detail::is_address);
    result.store = reader.required_endpoint("store");
    if (auto const* const gateway = reader.find("gateway"))
        result.gateway = detail::read_gateway_settings(*gateway, "gateway");
    else
        read_request_interface(reader, result);
    result.lowest_log_level = read_log_level(reader);
    reader.refuse_unknown_keys();
    return result;
}

} // namespace pistachiohub::kernel
