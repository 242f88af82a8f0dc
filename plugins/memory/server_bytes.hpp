#pragma once

/// @file
/// Bytes of requests in flight to one backend server. Load pattern: several large uploads reach one
/// server at the same time, which crashes when the requests that it holds exceed its memory.

#include <cstddef>

namespace pistachiohub::memory
{

/// Requests up to this size are bounded by the slots of their server and need no room.
inline constexpr std::size_t small_request_bytes = 65536;

/// Bytes of uploads that a server may hold of this host: as many as the largest body.
inline constexpr std::size_t max_upload_bytes = 67'108'864;

/// @returns whether a request may be sent to a server that holds `in_flight` bytes of this host's
/// requests. A server that holds no upload takes one of any size, so that each can be sent.
/// @param limit bytes that a server may hold of this host's requests.
[[nodiscard]] bool has_room(std::size_t in_flight, std::size_t request_bytes, std::size_t limit);

/// @returns what a request adds to the bytes in flight to its server.
[[nodiscard]] std::size_t counted_bytes(std::size_t request_bytes);

} // namespace pistachiohub::memory
