#include "kernel/settings.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace pistachiohub::kernel
{

namespace
{

namespace json = boost::json;

constexpr std::size_t shortest_key = 16;
constexpr std::size_t longest_key = 256;
constexpr std::size_t longest_name = 63;

/// Reads one JSON object and refuses keys that nobody asked for.
class object_reader
{
public:
    object_reader(json::value const& value, std::string path)
        : m_path(std::move(path))
    {
        if (!value.is_object())
            throw settings_error(
                m_path.empty() ? "(document)" : m_path, json::serialize(value), "a JSON object");
        m_object = &value.get_object();
    }

    [[nodiscard]] std::string key_path(std::string_view key) const
    {
        return m_path.empty() ? std::string(key) : m_path + '.' + std::string(key);
    }

    [[nodiscard]] json::value const* find(std::string_view key)
    {
        m_known.emplace_back(key);
        return m_object->if_contains(key);
    }

    [[nodiscard]] json::value const& require(std::string_view key, std::string_view permitted)
    {
        auto const* const value = find(key);
        if (value == nullptr)
            throw settings_error(key_path(key), "(missing)", permitted);
        return *value;
    }

    [[nodiscard]] std::string
    text(std::string_view key, std::string_view permitted, bool (*is_valid)(std::string_view))
    {
        auto const& value = require(key, permitted);
        if (!value.is_string() || !is_valid(value.get_string()))
            throw settings_error(key_path(key), json::serialize(value), permitted);
        return std::string(value.get_string());
    }

    [[nodiscard]] std::uint16_t port(std::string_view key)
    {
        constexpr std::string_view permitted = "an integer from 1 to 65535";
        auto const& value = require(key, permitted);
        bool const is_valid = value.is_int64() && value.get_int64() >= 1 &&
                              value.get_int64() <= std::numeric_limits<std::uint16_t>::max();
        if (!is_valid)
            throw settings_error(key_path(key), json::serialize(value), permitted);
        return static_cast<std::uint16_t>(value.get_int64());
    }

    void refuse_unknown_keys() const
    {
        for (auto const& member : *m_object)
        {
            auto const is_known =
                std::find(m_known.begin(), m_known.end(), member.key()) != m_known.end();
            if (!is_known)
                throw settings_error(
                    key_path(member.key()), json::serialize(member.value()), permitted_keys());
        }
    }

private:
    [[nodiscard]] std::string permitted_keys() const
    {
        std::string keys = "one of the keys";
        for (auto const& key : m_known)
            keys += ' ' + key;
        return keys;
    }

    std::string m_path;
    json::object const* m_object = nullptr;
    std::vector<std::string> m_known;
};

bool is_name(std::string_view text)
{
    auto const is_name_character = [](char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
               character == '-';
    };
    return !text.empty() && text.size() <= longest_name &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

bool is_address(std::string_view text)
{
    boost::system::error_code failure;
    boost::asio::ip::make_address(std::string(text), failure);
    return !failure;
}

bool is_key(std::string_view text)
{
    return text.size() >= shortest_key && text.size() <= longest_key;
}

constexpr std::string_view name_rule = "1 to 63 characters of a-z, 0-9 and -";
constexpr std::string_view address_rule = "an IPv4 or IPv6 address";
constexpr std::string_view key_rule = "a string of 16 to 256 characters";

endpoint read_endpoint(json::value const& value, std::string path)
{
    object_reader reader(value, std::move(path));
    endpoint result;
    result.address = reader.text("address", address_rule, is_address);
    result.port = reader.port("port");
    reader.refuse_unknown_keys();
    return result;
}

seed_peer read_seed_peer(json::value const& value, std::string path)
{
    object_reader reader(value, std::move(path));
    seed_peer result;
    result.name = reader.text("name", name_rule, is_name);
    result.failure_domain = reader.text("failure_domain", name_rule, is_name);
    result.address = reader.text("address", address_rule, is_address);
    result.peer_port = reader.port("peer_port");
    reader.refuse_unknown_keys();
    return result;
}

std::vector<seed_peer> read_seed_peers(object_reader& reader)
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

log_level read_log_level(object_reader& reader)
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
    object_reader reader(document, "");
    settings result;
    result.name = reader.text("name", name_rule, is_name);
    result.failure_domain = reader.text("failure_domain", name_rule, is_name);
    result.address = reader.text("address", address_rule, is_address);
    result.caller_port = reader.port("caller_port");
    result.peer_port = reader.port("peer_port");
    result.admin_port = reader.port("admin_port");
    result.store = read_endpoint(reader.require("store", "an object"), "store");
    result.peer_key = reader.text("peer_key", key_rule, is_key);
    result.admin_key = reader.text("admin_key", key_rule, is_key);
    result.seed_peers = read_seed_peers(reader);
    result.lowest_log_level = read_log_level(reader);
    reader.refuse_unknown_keys();
    return result;
}

} // namespace pistachiohub::kernel
