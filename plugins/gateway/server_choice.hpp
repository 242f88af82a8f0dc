#pragma once

/// @file
/// Chooses a backend server for one request.

#include "plugins/gateway/request.hpp"
#include "plugins/gateway/server_table.hpp"
#include "plugins/gateway/spill.hpp"

#include <functional>

namespace pistachiohub::gateway
{

/// Number of servers that may run the requests of one object. The second one is used when the first
/// has no room. A copy on any further server would displace other objects from its cache.
inline constexpr std::size_t max_servers_per_object = 2;

/// The same while the service has slots to spare: a run where the object is not cached is slower,
/// but better than none, and the displaced objects find room too.
inline constexpr std::size_t max_servers_per_object_with_spare_slots = 4;

/// Factor on the requests that may wait at the first server of an object with stable placement, and
/// the largest number of them for each slot. A short wait at a server where the object is warm ends
/// earlier than a cold run elsewhere.
inline constexpr double first_server_queue_factor = 1.5;
inline constexpr double max_first_server_queue_per_slot = 1;

/// Inputs of one choice, in addition to the servers and the request.
struct choice_input
{
    /// Uniform sample in `[0, 1)`. Compared with the fractions in `spill`, it selects the distance
    /// at which a server is looked for first, for requests without an affinity key.
    double sample = 0;
    spill_state spill;
    /// Whether a server of another region may be chosen when there is no room.
    bool may_leave_region = false;
    /// Whether a server of another failure domain of the region may be chosen when there is no
    /// room.
    bool may_leave_domain = false;
    /// Requests that may wait at a server for each of its slots.
    double queue_per_slot = 0;
    /// Usual time in seconds for which a request occupies a slot; 0 if unknown.
    double run_seconds = 0;
    /// Number of servers, in the ranking of the object, that may run the request.
    std::size_t servers_per_object = max_servers_per_object;
    /// Whether the weights of the servers apply, and the first server of an object may have a
    /// longer queue before another one is used.
    bool is_stable = false;
    /// Whether the request would be refused otherwise. All servers of the object then have the
    /// queue of the rule by load.
    bool is_last_resort = false;
    /// Size of the request's body.
    std::size_t request_bytes = 0;
    kernel::monotonic_time now;
};

/// Why no server was chosen.
enum class choice_failure
{
    none,
    /// No server may run the request, busy or not.
    no_server,
    /// All servers that may run the request now are busy, avoided or cold without allowance.
    no_room
};

/// The chosen server, or why there is none.
struct server_choice
{
    server_pointer server;
    choice_failure failure = choice_failure::none;
    /// For `no_room`: the server for a slot of which the request should wait.
    server_pointer preferred;
    /// The first server in the ranking of the object; null for a request without an affinity key.
    server_pointer first;
};

/// Chooses the backend server for the next send of a request. A request with an affinity key gets
/// the first server with room in the ranking of its object; another request gets the server
/// with room where it is expected to finish first, at the distance selected by `input.sample` or
/// the nearest permitted one. Servers that the request was sent to before are left out.
/// @param admit_cold_request returns whether one request may be sent to a cold server, and counts
/// it.
/// @returns the chosen server, or the reason why there is none.
[[nodiscard]] server_choice
choose_server(server_table const& table,
              gateway_request const& request,
              choice_input const& input,
              std::function<bool(known_server&)> const& admit_cold_request);

} // namespace pistachiohub::gateway
