#pragma once

/// @file
/// Calls into a library that may never return.

#include "kernel/clock.hpp"

#include <functional>

namespace pistachiohub::peer
{

/// Runs `work` on a thread of its own and waits for its end.
/// @param limit longest wait; the thread goes on after it, so `work` must own all that it uses.
/// @returns true if `work` ended within `limit`.
/// @throws std::system_error when no thread can be started; `work` was then not run.
[[nodiscard]] bool ends_within(std::function<void()> work, kernel::duration limit);

} // namespace pistachiohub::peer
