#pragma once

/// @file
/// Base class of all exceptions. Every failure has its own type derived from it.

#include <stdexcept>

namespace pistachiohub::kernel
{

/// Base of every exception thrown by pistachiohub's own code.
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace pistachiohub::kernel
