#include "plugins/gateway/message.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace pistachiohub::gateway
{

namespace
{

std::string_view trim(std::string_view text)
{
    constexpr std::string_view whitespace = " \t";
    auto const first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/// Calls `visit` for each element of a separated list, without surrounding whitespace, until it
/// returns true.
/// @returns whether a call returned true.
template<class Visit>
bool any_list_element(std::string_view list, char separator, Visit&& visit)
{
    while (!list.empty())
    {
        auto const element = list.substr(0, list.find(separator));
        list.remove_prefix(std::min(element.size() + 1, list.size()));
        if (visit(trim(element)))
            return true;
    }
    return false;
}

// What the allocator adds to an allocation.
constexpr std::size_t allocation_overhead = 16;

// Memory of a string beside the object itself, which holds short ones.
std::size_t heap_memory(std::string const& text)
{
    bool const is_short = text.capacity() <= std::string().capacity();
    return is_short ? 0 : text.capacity() + allocation_overhead;
}

} // namespace

std::size_t memory_of(caller_request const& request)
{
    auto sum = sizeof(request) + heap_memory(request.method) + heap_memory(request.target) +
               heap_memory(request.body) + request.headers.capacity() * sizeof(message_header);
    for (auto const& header : request.headers)
        sum += heap_memory(header.name) + heap_memory(header.value);
    return sum;
}

std::string_view find_header_value(std::vector<message_header> const& headers,
                                   std::string_view name)
{
    for (auto const& header : headers)
    {
        if (is_same_header_name(header.name, name))
            return header.value;
    }
    return {};
}

std::vector<std::string_view> find_header_values(std::vector<message_header> const& headers,
                                                 std::string_view name)
{
    std::vector<std::string_view> values;
    for (auto const& header : headers)
    {
        if (is_same_header_name(header.name, name))
            values.emplace_back(header.value);
    }
    return values;
}

bool is_hop_by_hop(std::string_view name, std::string_view connection_options)
{
    constexpr std::array<std::string_view, 10> hop_by_hop_names{"Connection",
                                                                "Keep-Alive",
                                                                "Proxy-Connection",
                                                                "Proxy-Authenticate",
                                                                "Proxy-Authorization",
                                                                "TE",
                                                                "Trailer",
                                                                "Transfer-Encoding",
                                                                "Upgrade",
                                                                "Expect"};
    auto const matches_name = [name](std::string_view other)
    {
        return is_same_header_name(name, other);
    };
    return std::any_of(hop_by_hop_names.begin(), hop_by_hop_names.end(), matches_name) ||
           any_list_element(connection_options, ',', matches_name);
}

std::string_view find_cookie(std::string_view cookies, std::string_view name)
{
    std::string_view value;
    any_list_element(cookies,
                     ';',
                     [&value, name](std::string_view element)
                     {
                         auto const equals = element.find('=');
                         if (equals == std::string_view::npos ||
                             trim(element.substr(0, equals)) != name)
                             return false;
                         value = trim(element.substr(equals + 1));
                         return true;
                     });
    return value;
}

} // namespace pistachiohub::gateway
