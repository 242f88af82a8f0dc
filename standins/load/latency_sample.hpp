#pragma once

/// @file
/// Percentiles of a latency sample.

#include <string>
#include <vector>

namespace pistachiohub::standins::load
{

/// @param microseconds the sample, in any order.
/// @returns `count=N p50_us=... p99_us=... p99.9_us=...`.
[[nodiscard]] std::string summarise(std::vector<double> microseconds);

} // namespace pistachiohub::standins::load
