#include "kernel/settings_reader.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>

namespace pistachiohub::kernel::detail
{

namespace
{

namespace json = boost::json;

constexpr std::size_t shortest_key = 16;
constexpr std::size_t longest_key = 256;
constexpr std::size_t longest_name = 63;

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    endpoint result;
    result.address = text.substr(0, colon);
    auto const port = text.substr(colon + 1);
    auto const [end, failure] =
        std::from_chars(port.data(), port.data() + port.size(), result.port);
    bool const is_number = failure == std::errc{} && end == port.data() + port.size();
    if (!is_number || result.port == 0 || !is_address(result.address))
        return std::nullopt;
    return result;
}

} // namespace

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

settings_reader::settings_reader(json::value const& value, std::string path)
    : m_path(std::move(path))
{
    if (!value.is_object())
        throw settings_error(
            m_path.empty() ? "(document)" : m_path, json::serialize(value), "a JSON object");
    m_object = &value.get_object();
}

std::string settings_reader::key_path(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + '.' + std::string(key);
}

json::value const* settings_reader::find(std::string_view key)
{
    m_known.emplace_back(key);
    return m_object->if_contains(key);
}

json::value const& settings_reader::require(std::string_view key, std::string_view permitted)
{
    auto const* const value = find(key);
    if (value == nullptr)
        throw settings_error(key_path(key), "(missing)", permitted);
    return *value;
}

std::string settings_reader::text(std::string_view key,
                                  std::string_view permitted,
                                  bool (*is_valid)(std::string_view))
{
    auto const& value = require(key, permitted);
    if (!value.is_string() || !is_valid(value.get_string()))
        throw settings_error(key_path(key), json::serialize(value), permitted);
    return std::string(value.get_string());
}

std::uint16_t settings_reader::port(std::string_view key)
{
    constexpr std::string_view permitted = "an integer from 1 to 65535";
    auto const& value = require(key, permitted);
    bool const is_valid = value.is_int64() && value.get_int64() >= 1 &&
                          value.get_int64() <= std::numeric_limits<std::uint16_t>::max();
    if (!is_valid)
        throw settings_error(key_path(key), json::serialize(value), permitted);
    return static_cast<std::uint16_t>(value.get_int64());
}

double
settings_reader::number_or(std::string_view key, double lowest, double highest, double fallback)
{
    auto const* const value = find(key);
    if (value == nullptr)
        return fallback;
    if (value->is_number() && value->to_number<double>() >= lowest &&
        value->to_number<double>() <= highest)
        return value->to_number<double>();
    throw settings_error(key_path(key),
                         json::serialize(*value),
                         "a number from " + std::to_string(lowest) + " to " +
                             std::to_string(highest));
}

bool settings_reader::flag_or(std::string_view key, bool fallback)
{
    auto const* const value = find(key);
    if (value == nullptr)
        return fallback;
    if (!value->is_bool())
        throw settings_error(key_path(key), json::serialize(*value), "true or false");
    return value->get_bool();
}

endpoint settings_reader::required_endpoint(std::string_view key)
{
    auto const& value = require(key, endpoint_rule);
    if (value.is_string())
    {
        auto const parsed = parse_endpoint(value.get_string());
        if (!parsed)
            throw settings_error(key_path(key), json::serialize(value), endpoint_rule);
        return *parsed;
    }
    settings_reader reader(value, key_path(key));
    endpoint result;
    result.address = reader.text("address", address_rule, is_address);
    result.port = reader.port("port");
    reader.refuse_unknown_keys();
    return result;
}

void settings_reader::refuse_unknown_keys() const
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

std::string settings_reader::permitted_keys() const
{
    std::string keys = "one of the keys";
    for (auto const& key : m_known)
        keys += ' ' + key;
    return keys;
}

} // namespace pistachiohub::kernel::detail
