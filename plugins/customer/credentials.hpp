#pragma once

/// @file
/// The key that a caller presents in its request.

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pistachiohub::customer
{

/// @param values values of all headers of the request that may hold a key.
/// @param scheme authentication scheme that must precede the key, regardless of case.
/// @returns the key; nothing if there is none, if the scheme is another one, or if there are
/// several headers, of which the backend server could believe another one than the gateway.
[[nodiscard]] std::optional<std::string> read_key(std::span<std::string_view const> values,
                                                  std::string_view scheme);

} // namespace pistachiohub::customer
