#include "libraries/configuration/object_reader.hpp"

#include "libraries/configuration/document.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace pistachiohub::configuration::detail
{

namespace json = boost::json;

namespace
{

constexpr std::size_t longest_name = 63;
// A refused region or service can be large; the error shows only its start.
constexpr std::size_t longest_shown_value = 120;

std::string integer_range(std::uint64_t lowest, std::uint64_t highest)
{
    return "an integer from " + std::to_string(lowest) + " to " + std::to_string(highest);
}

std::string name_list(std::vector<std::string_view> const& names)
{
    std::string list = "one of";
    for (auto const name : names)
        list.append(" ").append(name);
    return list;
}

std::uint64_t read_integer(json::value const& value,
                           std::string const& path,
                           std::uint64_t lowest,
                           std::uint64_t highest)
{
    if (value.is_int64() && value.get_int64() >= 0)
    {
        auto const number = static_cast<std::uint64_t>(value.get_int64());
        if (number >= lowest && number <= highest)
            return number;
    }
    refuse(path, value, integer_range(lowest, highest));
}

std::size_t read_choice(json::value const& value,
                        std::string const& path,
                        std::vector<std::string_view> const& names)
{
    if (value.is_string())
    {
        auto const position =
            std::find(names.begin(), names.end(), std::string_view(value.get_string()));
        if (position != names.end())
            return static_cast<std::size_t>(position - names.begin());
    }
    refuse(path, value, name_list(names));
}

} // namespace

void refuse(std::string const& path, json::value const& value, std::string_view permitted)
{
    auto shown = json::serialize(value);
    if (shown.size() > longest_shown_value)
        shown = shown.substr(0, longest_shown_value) + "...";
    throw configuration_error(path, shown, permitted);
}

bool is_name(std::string_view name)
{
    auto const is_permitted = [](char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
               character == '-';
    };
    return !name.empty() && name.size() <= longest_name &&
           std::all_of(name.begin(), name.end(), is_permitted);
}

object_reader::object_reader(json::value const& value, std::string path)
    : m_object(value.if_object())
    , m_path(std::move(path))
{
    if (m_object == nullptr)
        refuse(m_path.empty() ? "(document)" : m_path, value, "a JSON object");
}

std::string object_reader::key_path(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + '.' + std::string(key);
}

json::value const* object_reader::find(std::string_view key)
{
    m_known.emplace_back(key);
    return m_object->if_contains(key);
}

json::value const& object_reader::require(std::string_view key, std::string_view permitted)
{
    auto const* const value = find(key);
    if (value == nullptr)
        throw configuration_error(key_path(key), "(missing)", permitted);
    return *value;
}

std::uint64_t
object_reader::integer(std::string_view key, std::uint64_t lowest, std::uint64_t highest)
{
    return read_integer(
        require(key, integer_range(lowest, highest)), key_path(key), lowest, highest);
}

std::uint64_t object_reader::integer_or(std::string_view key,
                                        std::uint64_t lowest,
                                        std::uint64_t highest,
                                        std::uint64_t fallback)
{
    auto const* const value = find(key);
    return value == nullptr ? fallback : read_integer(*value, key_path(key), lowest, highest);
}

double object_reader::fraction_or(std::string_view key, double fallback)
{
    auto const* const value = find(key);
    if (value == nullptr)
        return fallback;
    if (value->is_number())
    {
        auto const number = value->to_number<double>();
        if (number >= 0 && number <= 1)
            return number;
    }
    refuse(key_path(key), *value, "a number from 0 to 1");
}

std::size_t object_reader::choice(std::string_view key, std::vector<std::string_view> const& names)
{
    return read_choice(require(key, name_list(names)), key_path(key), names);
}

std::size_t object_reader::choice_or(std::string_view key,
                                     std::vector<std::string_view> const& names,
                                     std::size_t fallback)
{
    auto const* const value = find(key);
    return value == nullptr ? fallback : read_choice(*value, key_path(key), names);
}

void object_reader::refuse_unknown_keys() const
{
    for (auto const& member : *m_object)
    {
        if (std::find(m_known.begin(), m_known.end(), std::string_view(member.key())) !=
            m_known.end())
            continue;
        std::string permitted = "one of the keys";
        for (auto const& key : m_known)
            permitted += ' ' + key;
        refuse(key_path(member.key()), member.value(), permitted);
    }
}

} // namespace pistachiohub::configuration::detail
