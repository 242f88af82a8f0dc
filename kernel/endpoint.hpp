#pragma once

/// @file
/// An IP address and a port.

#include <cstdint>
#include <string>
#include <string_view>

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

/// @returns whether the text is the IP address of one host, to which a connection can be opened.
/// Addresses in the store are written by others, so they are checked where they are read.
[[nodiscard]] bool is_host_address(std::string_view text);

} // namespace pistachiohub::kernel
