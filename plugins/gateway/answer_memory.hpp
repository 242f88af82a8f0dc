#pragma once

/// @file
/// Accounting of the memory that answers occupy on their way from backend servers to callers.

#include "libraries/http/memory_budget.hpp"

namespace pistachiohub::gateway
{

/// Memory for answers of one daemon: bytes that all answers together may occupy before reading from
/// backend servers slows down to what callers take.
using answer_memory = http::memory_budget;
using http::is_exhausted;
using http::memory_claim;

} // namespace pistachiohub::gateway
