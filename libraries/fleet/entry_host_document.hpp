#pragma once

/// @file
/// The store's document of one entry host.

#include "kernel/error.hpp"
#include "libraries/fleet/backend_server.hpp"

#include <string>
#include <string_view>

namespace pistachiohub::fleet
{

/// The document of an entry host cannot be read.
class entry_host_error : public kernel::error
{
public:
    using error::error;
};

/// @returns JSON text.
[[nodiscard]] std::string to_document(entry_host const& host);

/// @param name name of the object.
/// @throws entry_host_error for a field that is missing or of another type.
[[nodiscard]] entry_host parse_entry_host(std::string_view name, std::string_view text);

/// Adds what an earlier process of the same host published to what the present one publishes.
void inherit_crashes(crash_knowledge& own, crash_knowledge const& earlier);

} // namespace pistachiohub::fleet
