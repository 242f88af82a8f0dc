#pragma once

/// @file
/// Backend server slots in use by this daemon.

#include "libraries/view/world_view.hpp"
#include "plugins/steer/destination.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::forward
{

struct local_run;
struct step;

/// Usage of backend servers by this daemon, keyed by server name.
struct slot_table
{
    std::map<std::string, steer::server_usage, std::less<>> usage;
};

/// @returns the usage of each backend server of the view, in the view's order.
[[nodiscard]] std::vector<steer::server_usage> list_usage(slot_table const& slots,
                                                          view::world_view const& world);

/// Takes a slot of `server` for a new run, initialises the run and gives it a dispatch number.
/// @param deadline deadline of the run. A run that has not ended by then is marked overdue and
/// keeps its slot for up to `follow_up_time` more.
/// @param is_suspect true if the run must be alone on the server.
void take_slot(step& current,
               local_run& run,
               view::backend_server const& server,
               kernel::monotonic_time deadline,
               bool is_suspect);

/// Releases the slot of a run, if it holds one.
void release_slot(step& current, local_run& run);

/// Resets the count of consecutive refusals of a backend server that answered.
void record_answer(step& current, std::string_view backend_server);

/// Counts a refusal by a backend server, or a failure to reach it, and stores its time.
void record_refusal(step& current, std::string_view backend_server);

/// Removes the usage of servers that are no longer in the view and have no run in flight.
void drop_removed_servers(slot_table& slots, view::world_view const& world);

} // namespace pistachiohub::forward
