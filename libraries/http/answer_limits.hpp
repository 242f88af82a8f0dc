#pragma once

/// @file
/// Limits that the clients of this project set on answers.

#include <cstddef>

namespace pistachiohub::http
{

/// Input that a client keeps unparsed, in bytes. Parsers bound a head and a body, but no chunk
/// extension and no trailers.
inline constexpr std::size_t max_unparsed_bytes = 65536;

} // namespace pistachiohub::http
