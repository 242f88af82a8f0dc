#pragma once

/// @file
/// HTTP/1.1 text of an answer.

#include "plugins/front/answer_builder.hpp"

#include <string>

namespace pistachiohub::front
{

/// @param is_keep_alive false adds `Connection: close`.
/// @returns the whole response with its header block.
[[nodiscard]] std::string make_response_text(caller_answer const& answer, bool is_keep_alive);

} // namespace pistachiohub::front
