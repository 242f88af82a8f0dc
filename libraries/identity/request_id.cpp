#include "libraries/identity/request_id.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace pistachiohub::identity
{

namespace
{

constexpr std::uint64_t incarnation_limit = std::uint64_t{1} << 53;

bool is_host_character(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
           character == '-';
}

bool is_unique_character(char character)
{
    return is_host_character(character) || (character >= 'A' && character <= 'Z') ||
           character == '_';
}

template<class Number>
std::optional<Number> parse_number(std::string_view text)
{
    // Leading zeros would give one id two text forms.
    if (text.size() > 1 && text.front() == '0')
        return std::nullopt;
    Number number{};
    auto const* const end = text.data() + text.size();
    auto const [position, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc{} || position != end)
        return std::nullopt;
    return number;
}

std::optional<std::array<std::string_view, 4>> split_parts(std::string_view text)
{
    std::array<std::string_view, 4> parts;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index)
    {
        auto const slash = text.find('/');
        if (slash == std::string_view::npos)
            return std::nullopt;
        parts[index] = text.substr(0, slash);
        text.remove_prefix(slash + 1);
    }
    parts.back() = text;
    return parts;
}

} // namespace

std::size_t request_id_hash::operator()(request_id const& id) const
{
    auto const seed =
        XXH3_64bits_withSeed(id.owner.data(), id.owner.size(), id.incarnation * 31 + id.epoch);
    return XXH3_64bits_withSeed(id.unique.data(), id.unique.size(), seed);
}

bool is_host_name(std::string_view name)
{
    return !name.empty() && name.size() <= longest_host_name &&
           std::all_of(name.begin(), name.end(), is_host_character);
}

std::optional<request_id> parse_request_id(std::string_view text)
{
    auto const parts = split_parts(text);
    if (!parts)
        return std::nullopt;
    auto const& [owner, incarnation_text, epoch_text, unique] = *parts;
    if (!is_host_name(owner))
        return std::nullopt;
    auto const incarnation = parse_number<std::uint64_t>(incarnation_text);
    auto const epoch = parse_number<std::uint32_t>(epoch_text);
    if (!incarnation || *incarnation >= incarnation_limit || !epoch)
        return std::nullopt;
    bool const is_unique_valid = !unique.empty() && unique.size() <= longest_unique_part &&
                                 std::all_of(unique.begin(), unique.end(), is_unique_character);
    if (!is_unique_valid)
        return std::nullopt;
    return request_id{std::string(owner), *incarnation, *epoch, std::string(unique)};
}

std::string to_string(request_id const& id)
{
    return id.owner + '/' + std::to_string(id.incarnation) + '/' + std::to_string(id.epoch) + '/' +
           id.unique;
}

std::string encode_callers_id(std::string_view id)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view other_unreserved = "._~";
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned low_digit = 0xF;
    std::string encoded;
    encoded.reserve(id.size());
    for (char const character : id)
    {
        if (is_unique_character(character) ||
            other_unreserved.find(character) != std::string_view::npos)
        {
            encoded += character;
            continue;
        }
        auto const byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += digits[byte >> bits_per_digit];
        encoded += digits[byte & low_digit];
    }
    return encoded;
}

std::optional<std::string_view> unique_part_of(std::string_view text)
{
    auto const parts = split_parts(text);
    return parts ? std::optional(parts->back()) : std::nullopt;
}

} // namespace pistachiohub::identity
