#pragma once

/// @file
/// Check of the operator's bearer token.

#include <string_view>

namespace pistachiohub::admin
{

/// @param authorization value of the `Authorization` header.
/// @returns true when it is `Bearer <key>`. The time taken does not depend on where it differs.
[[nodiscard]] bool is_authorized(std::string_view authorization, std::string_view key);

} // namespace pistachiohub::admin
