#pragma once

/// @file
/// Chooses a backend server for one request.

#include "plugins/gateway/request.hpp"
#include "plugins/gateway/server_table.hpp"
#include "plugins/gateway/spill.hpp"

#include <functional>

namespace pistachiohub::gateway
{

/// What one choice depends on beside the servers.
struct choice_input
{
    /// Position in `[0, 1)` that decides the distance at which a request without a key starts.
    double position = 0;
    spill_state spill;
    /// Whether a server at another distance may be taken when there is no room.
    bool may_leave_region = false;
    bool may_leave_domain = false;
    /// Requests that may wait at a server for each of its slots.
    double queue_per_slot = 0;
    kernel::monotonic_time now;
};

/// Why no server was chosen.
enum class choice_failure
{
    none,
    /// There is no server that may run the request, busy or not.
    no_server,
    /// All servers that may run it are busy or avoided.
    no_room
};

/// Servers of an object. The second one is taken when the first has no room; each further one would
/// leave less room in its cache for other objects.
inline constexpr std::size_t servers_of_object = 2;

/// The chosen server, or why there is none.
struct choice
{
    server_pointer server;
    choice_failure failure = choice_failure::none;
    /// For no_room: the server for which the request should wait.
    server_pointer preferred;
};

/// @param may_send_cold decides on a request to a cold server, and counts it.
[[nodiscard]] choice choose_server(server_table const& table,
                                   gateway_request const& request,
                                   choice_input const& input,
                                   std::function<bool(known_server&)> const& may_send_cold);

} // namespace pistachiohub::gateway
