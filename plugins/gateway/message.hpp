#pragma once

/// @file
/// Whole HTTP messages between callers and backend servers.

#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::gateway
{

/// A header field as it was received.
struct message_header
{
    std::string name;
    std::string value;
};

/// A request of a caller.
struct caller_request
{
    std::string method;
    std::string target;
    std::vector<message_header> headers;
    std::string body;
};

/// An answer to a caller: a backend server's, or the gateway's own.
struct answer
{
    unsigned status = 0;
    std::string reason;
    std::vector<message_header> headers;
    std::string body;
};

/// @returns whether two header names are the same; case does not matter.
[[nodiscard]] bool is_same_name(std::string_view left, std::string_view right);

/// @returns the value of the first header called `name`, or an empty view.
[[nodiscard]] std::string_view find_value(std::vector<message_header> const& headers,
                                          std::string_view name);

/// @returns whether a header concerns one connection only and must not be forwarded.
/// @param connection_options value of the message's `Connection` header.
[[nodiscard]] bool is_hop_by_hop(std::string_view name, std::string_view connection_options);

/// @returns the value of a cookie in a `Cookie` header, or an empty view.
[[nodiscard]] std::string_view find_cookie(std::string_view cookies, std::string_view name);

} // namespace pistachiohub::gateway
