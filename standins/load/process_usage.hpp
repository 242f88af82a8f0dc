#pragma once

/// @file
/// Processor time of another process of the same run.

namespace pistachiohub::standins::load
{

/// @param process_id process to read; 0 gives 0.
/// @returns user and system time so far, in seconds.
/// @throws kernel::error when the process does not exist.
[[nodiscard]] double processor_seconds(int process_id);

} // namespace pistachiohub::standins::load
