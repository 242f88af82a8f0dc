#pragma once

/// @file
/// JSON merge patch (RFC 7396).

#include <boost/json/value.hpp>

namespace pistachiohub::configuration::detail
{

/// Applies `patch` to `target`: null removes a member, objects are merged, other values replace.
void merge(boost::json::value& target, boost::json::value const& patch);

} // namespace pistachiohub::configuration::detail
