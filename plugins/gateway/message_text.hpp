#pragma once

/// @file
/// The text of HTTP/1.1 messages that the gateway sends.

#include "libraries/interface/interface.hpp"
#include "plugins/gateway/message.hpp"

#include <chrono>
#include <string>
#include <string_view>

namespace pistachiohub::gateway
{

/// @returns a request for a backend server: method, target, body and end-to-end headers as the
/// caller sent them, with the remaining time and the server for which it is meant.
[[nodiscard]] std::string make_request_text(caller_request const& request,
                                            interface::message_headers const& names,
                                            std::string_view server_id,
                                            std::chrono::milliseconds remaining);

/// @returns an answer for a caller, with the length of its body.
/// @param is_head whether the request was a HEAD, whose answer has no body.
/// @param is_last whether the connection closes after the answer.
[[nodiscard]] std::string make_answer_text(answer const& made, bool is_head, bool is_last);

} // namespace pistachiohub::gateway
