#pragma once

/// @file
/// Which failures to read a request are faults of its form.

#include "plugins/front/request_parser.hpp"

#include <boost/system/error_code.hpp>

#include <optional>

namespace pistachiohub::front
{

/// @returns the refusal for a request that is not valid HTTP or too large, or nothing when the
/// failure is of the connection.
[[nodiscard]] std::optional<refusal> refusal_of(boost::system::error_code failure);

} // namespace pistachiohub::front
