#pragma once

/// @file
/// MessagePack codec of peer messages, authenticated by a shared key.

#include "kernel/error.hpp"
#include "libraries/messages/peer_message.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::messages
{

/// Why a message was refused.
enum class codec_failure
{
    too_short,
    wrong_authentication_code,
    malformed,
    unknown_kind,
    field_out_of_range
};

/// @returns the name used in logs and metric labels.
[[nodiscard]] std::string_view to_string(codec_failure failure);

/// A received message is not valid.
class codec_error : public kernel::error
{
public:
    explicit codec_error(codec_failure failure);

    /// @returns why the message was refused.
    [[nodiscard]] codec_failure failure() const;

private:
    codec_failure m_failure;
};

/// Encodes a message and appends its authentication code.
/// @param key shared key of the daemons.
[[nodiscard]] std::vector<std::byte> encode(envelope const& message, std::string_view key);

/// Checks the authentication code and decodes a message.
/// @throws codec_error when the bytes are not a valid message under `key`.
[[nodiscard]] envelope decode(std::span<std::byte const> bytes, std::string_view key);

} // namespace pistachiohub::messages
