#pragma once

/// @file
/// Serialization of the HTTP/1.1 messages that the gateway sends.

#include "libraries/interface/interface.hpp"
#include "plugins/gateway/message.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiohub::gateway
{

/// What a backend server is told of the customer of a request.
struct forwarded_customer
{
    /// Whether the configuration names customers. Otherwise the headers for them are the caller's
    /// own and are forwarded.
    bool is_set_by_gateway = false;
    /// Empty if the request has no customer.
    std::string_view name;
};

/// @returns the text of a request to a backend server: method, target, body and end-to-end headers
/// as the caller sent them, with headers for the remaining time, the target server and the
/// customer. The caller's key is left out where the gateway identifies customers by it.
/// @param remaining time until the answer is due; it replaces the caller's value.
/// @param server_id id of the target server; it replaces a value that the caller sent.
[[nodiscard]] std::string serialize_request(caller_request const& request,
                                            interface::message_headers const& names,
                                            std::string_view server_id,
                                            std::chrono::milliseconds remaining,
                                            forwarded_customer const& customer);

/// @returns the text of an answer to a caller, with the `Content-Length` of its body.
/// @param is_head whether the request was a HEAD; the answer then has no body and keeps the
/// declared `Content-Length`.
/// @param is_last whether the connection is closed after the answer.
[[nodiscard]] std::string serialize_answer(answer const& message, bool is_head, bool is_last);

/// How the body of an answer that is sent in parts ends.
enum class stream_framing
{
    /// After the announced length.
    length,
    /// With the last chunk.
    chunked,
    /// With the connection.
    connection
};

/// @returns the text of the head of an answer whose body follows in parts.
/// @param length size of the body; used with `stream_framing::length` only.
[[nodiscard]] std::string serialize_stream_head(answer const& head,
                                                stream_framing framing,
                                                std::uint64_t length,
                                                bool is_last);

/// @returns a part of the body as it is sent; the part must not be empty.
[[nodiscard]] std::string serialize_part(std::string&& part, stream_framing framing);

/// @returns what ends the body; empty unless it is chunked.
[[nodiscard]] std::string_view stream_end(stream_framing framing);

} // namespace pistachiohub::gateway
