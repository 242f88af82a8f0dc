#include "libraries/http/message.hpp"

#include <algorithm>
#include <cctype>

namespace pistachiohub::http
{

bool is_same_header_name(std::string_view left, std::string_view right)
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

std::optional<std::string_view> find_header(std::span<header const> headers, std::string_view name)
{
    for (auto const& field : headers)
    {
        if (is_same_header_name(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

std::string serialize_request(std::string_view method,
                              std::string_view target,
                              std::span<header const> headers,
                              std::string_view body)
{
    std::string text(method);
    text.append(" ").append(target).append(" HTTP/1.1\r\n");
    for (auto const& field : headers)
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    if (!body.empty() || method == "POST" || method == "PUT")
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    return text.append("\r\n").append(body);
}

} // namespace pistachiohub::http
