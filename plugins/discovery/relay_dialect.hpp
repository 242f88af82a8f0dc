#pragma once

/// @file
/// How daemons ask each other for changes of the store.

#include "libraries/fleet/backend_server.hpp"
#include "libraries/object_store/dialect.hpp"
#include "libraries/object_store/object_store.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiohub::discovery
{

/// A daemon asks for the changes of a kind.
struct change_query
{
    std::string kind;
    fleet::host_incarnation asker;
    object_store::position since;
    std::chrono::milliseconds wait{0};
};

/// @returns the object API that the relay speaks; it has watches only.
[[nodiscard]] object_store::dialect const& relay_dialect();

/// @returns the query, or nothing when path or query have another form.
[[nodiscard]] std::optional<change_query> parse_change_query(std::string_view path,
                                                             std::string_view query);

/// @param age time from the begin of the call of the store that confirmed the changes to the
/// arrival of the question, or 0 if the call began later. The follower counts it from its question,
/// so that neither the wait nor a slow answer makes what it knows look older or newer than it is.
/// @returns the body of the answer to a watch.
[[nodiscard]] std::string encode_changes(object_store::list_result const& changes,
                                         std::chrono::milliseconds age);

} // namespace pistachiohub::discovery
