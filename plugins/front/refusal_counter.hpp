#pragma once

/// @file
/// The counter of refusals that the front duty makes itself.

#include "kernel/metrics.hpp"
#include "libraries/outcome/outcome.hpp"

namespace pistachiohub::front
{

/// Counts a refusal by its reason.
void count_refusal(kernel::metrics& counters, reason cause);

} // namespace pistachiohub::front
