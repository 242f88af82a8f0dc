#pragma once

/// @file
/// Slots of backend servers that this daemon's runs take.

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

/// What is used of each backend server, by its name.
struct slot_table
{
    std::map<std::string, steer::server_usage, std::less<>> usage;
};

/// @returns the usage of the view's backend servers, at the same index.
[[nodiscard]] std::vector<steer::server_usage> list_usage(slot_table const& slots,
                                                          view::world_view const& world);

/// Fills in a new run at `server`, takes a slot for it and numbers its dispatch.
/// @param deadline when the run should have ended; the slot is freed some time later at the
/// latest.
/// @param is_suspect true if the run must be alone on the server.
void take_slot(step& current,
               local_run& run,
               view::backend_server const& server,
               kernel::monotonic_time deadline,
               bool is_suspect);

/// Frees the slot of a run, if it holds one.
void release_slot(step& current, local_run& run);

/// Notes that a backend server answered.
void note_answer(step& current, std::string_view backend_server);

/// Notes that a backend server refused a run, or could not be reached.
void note_refusal(step& current, std::string_view backend_server);

/// Forgets servers that have left the view and are not in use.
void drop_unknown_servers(slot_table& slots, view::world_view const& world);

} // namespace pistachiohub::forward
