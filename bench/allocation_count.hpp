#pragma once

/// @file
/// Counts heap allocations of this program.

#include <cstddef>

namespace pistachiohub::bench
{

/// @returns the number of calls of the replaced `operator new` so far, on any thread.
[[nodiscard]] std::size_t allocation_count();

} // namespace pistachiohub::bench
