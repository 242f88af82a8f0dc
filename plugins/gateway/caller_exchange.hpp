#pragma once

/// @file
/// A request on a connection of a caller, with its answer.

#include "plugins/gateway/answer_memory.hpp"
#include "plugins/gateway/message_text.hpp"
#include "plugins/gateway/request.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace pistachiohub::gateway
{

/// The body of an answer that is sent in parts.
struct answer_stream
{
    stream_framing framing = stream_framing::chunked;
    std::uint64_t length = 0;
    /// Parts that wait for the connection, as they are sent.
    std::string pending;
    bool is_head_sent = false;
    bool is_complete = false;
    /// No further part is added until the caller has taken most of these.
    bool is_paused = false;
};

/// A request and its answer, which is empty until the request has been answered.
struct exchange
{
    request_pointer request;
    /// The whole answer, or the head of one that is sent in parts.
    std::optional<answer> response;
    std::optional<answer_stream> stream;
    bool is_head = false;
    /// Not passed on yet: it stands behind an answer that may still break off, which closes the
    /// connection.
    bool is_deferred = false;
    /// Bytes of the request that count towards the memory limit.
    std::size_t held_bytes = 0;
    /// Bytes of the answer that wait here.
    std::unique_ptr<memory_claim> claim;
};

/// @returns whether nothing more is added to the answer.
[[nodiscard]] inline bool is_answered(exchange const& open)
{
    return open.response && (!open.stream || open.stream->is_complete);
}

/// @returns the bytes of answers that wait behind the one that is being written.
[[nodiscard]] inline std::size_t claimed_bytes(std::deque<exchange> const& exchanges)
{
    std::size_t sum = 0;
    for (auto const& open : exchanges)
        sum += open.claim->bytes();
    return sum;
}

} // namespace pistachiohub::gateway
