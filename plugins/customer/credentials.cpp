#include "plugins/customer/credentials.hpp"

#include <algorithm>
#include <cctype>

namespace pistachiohub::customer
{

namespace
{

bool is_same_scheme(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(),
                      left.end(),
                      right.begin(),
                      right.end(),
                      [](unsigned char one, unsigned char other)
                      {
                          return std::tolower(one) == std::tolower(other);
                      });
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view whitespace = " \t";
    auto const first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

} // namespace

std::optional<std::string> read_key(std::span<std::string_view const> values,
                                    std::string_view scheme)
{
    if (values.size() != 1)
        return std::nullopt;
    auto const value = trim(values.front());
    auto const end_of_scheme = std::min(value.find(' '), value.size());
    auto const key = trim(value.substr(end_of_scheme));
    if (!is_same_scheme(value.substr(0, end_of_scheme), scheme) || key.empty())
        return std::nullopt;
    return std::string(key);
}

} // namespace pistachiohub::customer
