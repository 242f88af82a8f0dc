#pragma once

/// @file
/// JSON form of a daemon's metrics.

#include "kernel/metrics.hpp"

#include <boost/json/object.hpp>

namespace pistachiohub::kernel
{

/// @returns each metric with its labels as in the Prometheus text, and its value.
[[nodiscard]] boost::json::object counters_document(metrics const& counters);

} // namespace pistachiohub::kernel
