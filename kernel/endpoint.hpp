#pragma once

/// @file
/// An IP address and a port.

#include <cstdint>
#include <string>

namespace pistachiohub::kernel
{

/// An IP address and a port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(endpoint const&, endpoint const&) = default;
};

/// @returns `ADDRESS:PORT`.
[[nodiscard]] inline std::string to_string(endpoint const& value)
{
    return value.address + ':' + std::to_string(value.port);
}

} // namespace pistachiohub::kernel
