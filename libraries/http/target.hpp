#pragma once

/// @file
/// Parts of request targets that hold text from elsewhere.

#include <string>
#include <string_view>

namespace pistachiohub::http
{

/// @returns whether a text arrives unchanged in a target without being percent-encoded.
[[nodiscard]] bool is_plain_target_part(std::string_view text);

/// Percent-encodes all bytes but letters, digits and `-._~`, so that none of them ends or changes
/// the part.
/// @returns the text as a segment of a path, or as a name or a value of a query.
[[nodiscard]] std::string encode_target_part(std::string_view text);

/// @returns the text of an encoded part, or the part as it is if its encoding is malformed.
[[nodiscard]] std::string decode_target_part(std::string_view part);

} // namespace pistachiohub::http
