#pragma once

/// @file
/// What the caller server makes of parsed input. This header includes Beast, so only implementation
/// files include it.

#include "plugins/gateway/message.hpp"
#include "plugins/gateway/refusal.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <string_view>

namespace pistachiohub::gateway
{

using beast_request = boost::beast::http::request<boost::beast::http::string_body>;

/// @returns the time that a caller states for its request, or a long one if it states none.
[[nodiscard]] std::chrono::milliseconds parse_deadline(std::string_view text);

[[nodiscard]] caller_request to_request(beast_request&& message);

/// @returns why a request that cannot be parsed is refused.
[[nodiscard]] refusal to_refusal(boost::system::error_code failure);

/// @returns why a read from a caller failed, for logs and metric labels.
[[nodiscard]] std::string_view cause_of_end(boost::system::error_code failure);

} // namespace pistachiohub::gateway
