#pragma once

/// @file
/// Reads the platform's host list of one failure domain.

#include "kernel/error.hpp"
#include "libraries/events/control_event.hpp"

#include <cstddef>
#include <string_view>

namespace pistachiohub::store
{

/// A host list is not of the documented form.
class host_list_error : public kernel::error
{
public:
    using error::error;
};

/// A host list and the number of entries that were left out because they are not valid.
struct parsed_host_list
{
    events::host_list_received list;
    std::size_t skipped = 0;
};

/// @param failure_domain name of the object.
/// @param has_backend_servers whether the backend servers are wanted too.
/// @throws host_list_error when `text` is not an object of the documented form.
[[nodiscard]] parsed_host_list
parse_host_list(std::string_view failure_domain, std::string_view text, bool has_backend_servers);

} // namespace pistachiohub::store
