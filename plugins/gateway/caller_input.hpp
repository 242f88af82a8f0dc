#pragma once

/// @file
/// What the caller server makes of parsed input.

#include "libraries/http/message.hpp"
#include "plugins/gateway/message.hpp"
#include "plugins/gateway/refusal.hpp"

#include <boost/system/error_code.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace pistachiohub::gateway
{

/// @returns the time that a caller states for its request, or a long one if it states none.
[[nodiscard]] std::chrono::milliseconds parse_deadline(std::string_view text);

[[nodiscard]] caller_request to_request(http::message_head&& head, std::string&& body);

/// @returns whether a caller waits for an interim answer before it sends the body.
[[nodiscard]] bool expects_continue(http::message_head const& head);

/// @returns why a request that cannot be parsed is refused.
[[nodiscard]] refusal to_refusal(boost::system::error_code failure);

/// @returns why a read from a caller failed, for logs and metric labels.
[[nodiscard]] std::string_view cause_of_end(boost::system::error_code failure);

} // namespace pistachiohub::gateway
