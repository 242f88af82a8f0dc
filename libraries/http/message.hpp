#pragma once

/// @file
/// Heads of HTTP messages.

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::http
{

/// A header field with its name and value as received.
struct header
{
    std::string name;
    std::string value;
};

/// Start line and header fields of a message.
struct message_head
{
    /// Of a request.
    std::string method;
    /// Of a request.
    std::string target;
    /// Of an answer.
    unsigned status = 0;
    /// Reason phrase of an answer.
    std::string reason;
    /// 10 for HTTP/1.0, 11 for HTTP/1.1.
    unsigned version = 0;
    std::vector<header> headers;
};

/// @returns whether two header names are equal, ignoring case.
[[nodiscard]] bool is_same_header_name(std::string_view left, std::string_view right);

/// @returns the value of the first header called `name`, ignoring case, or nothing.
[[nodiscard]] std::optional<std::string_view> find_header(std::span<header const> headers,
                                                          std::string_view name);

/// @returns the text of a request, with the length of a body where there is one or may be one.
/// @param headers all others, with `Host`.
[[nodiscard]] std::string serialize_request(std::string_view method,
                                            std::string_view target,
                                            std::span<header const> headers,
                                            std::string_view body);

} // namespace pistachiohub::http
