#pragma once

/// @file
/// The answer of the stand-in backend server, which its caller can check.

#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiohub::standins
{

/// What the check of an answer found.
struct answer_check
{
    /// The answer names the caller's id and the digest of the caller's body.
    bool is_own = false;
    /// The answer is complete and unchanged.
    bool is_whole = false;
};

/// @returns the digest (16 hexadecimal digits of xxHash64) of `text`.
[[nodiscard]] std::string digest(std::string_view text);

/// Makes an answer that holds the id, the digest of the body, padding and its own digest.
/// @param padding number of further bytes.
[[nodiscard]] std::string
make_answer(std::string_view id, std::string_view body, std::size_t padding);

/// Checks an answer against the id and the body that its caller sent.
[[nodiscard]] answer_check
check_answer(std::string_view answer, std::string_view id, std::string_view body);

} // namespace pistachiohub::standins
