#pragma once

/// @file
/// The failure to open the caller port.

#include "kernel/error.hpp"

#include <cstdint>
#include <string>

namespace pistachiohub::front
{

/// The caller port cannot be listened on.
class listen_error : public kernel::error
{
public:
    /// @param cause the system's description of the failure.
    listen_error(std::string const& address, std::uint16_t port, std::string const& cause);
};

} // namespace pistachiohub::front
