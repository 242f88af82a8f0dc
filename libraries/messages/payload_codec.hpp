#pragma once

/// @file
/// MessagePack form of the payloads, without the envelope and the authentication code.

#include "libraries/messages/peer_message.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace pistachiohub::messages::detail
{

/// Largest body or answer in a message, in bytes.
inline constexpr std::size_t largest_body = std::size_t{1024} * 1024;
/// Largest configuration document, in bytes: what the platform's object API holds.
inline constexpr std::size_t largest_document = std::size_t{1024} * 1024;
/// Most credits and member summaries in a heartbeat.
inline constexpr std::size_t most_items = 4096;

/// Longest name, address or service in a host list, in bytes.
inline constexpr std::size_t longest_listed_name = 1024;
/// Most entry hosts and most backend servers in a host list: an object of the platform's API of
/// 1 MiB holds no more.
inline constexpr std::size_t most_listed_items = 16384;

/// @returns the fields of a payload as an array.
[[nodiscard]] nlohmann::json encode_payload(payload const& content);

/// Reads the payload whose alternative in `payload` has the number `kind`.
/// @throws codec_error when a field is missing, of another type or out of range.
[[nodiscard]] payload decode_payload(std::uint64_t kind, nlohmann::json const& fields);

} // namespace pistachiohub::messages::detail
