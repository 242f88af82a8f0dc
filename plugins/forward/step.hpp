#pragma once

/// @file
/// Inputs of one step of the coordinator and the actions that the step has produced so far.

#include "kernel/clock.hpp"
#include "libraries/view/world_view.hpp"
#include "plugins/forward/action.hpp"
#include "plugins/forward/coordinator.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachiohub::forward
{

/// Context in which the coordinator handles one event or one tick.
struct step
{
    coordinator& state;
    view::world_view const& world;
    kernel::monotonic_time now;
    /// State of the generator behind `next_random`.
    std::uint64_t random = 0;
    std::vector<action> actions;
};

/// Appends an action to the result of the step.
void emit(step& current, action item);

/// Sends a message to another daemon. Messages to this daemon itself are dropped.
void emit_peer(step& current,
               std::string_view recipient,
               std::uint64_t recipient_incarnation,
               messages::payload content);

/// Sends a message to all other daemons except those in state `silent`.
void broadcast(step& current, messages::payload const& content);

/// Increments the counter `which` with the label `cause`.
void increment_counter(step& current, metric which, reason cause);

/// Increments the counter `which` with the label `result`.
void increment_counter(step& current, metric which, outcome result);

/// Appends an action that writes a log line.
void add_log_entry(step& current,
                   kernel::log_level level,
                   std::string_view event,
                   std::vector<std::pair<std::string_view, std::string>> fields);

/// @returns the next number of a pseudorandom sequence, seeded with the random number that the step
/// was given.
[[nodiscard]] std::uint64_t next_random(step& current);

/// @returns the whole milliseconds until `deadline`, or 0 if it has passed.
[[nodiscard]] std::uint32_t remaining_ms(step const& current, kernel::monotonic_time deadline);

/// @returns the service called `name` in the configuration, or null.
[[nodiscard]] configuration::service const* find_service(step const& current,
                                                         std::string_view name);

/// @returns the entry host called `name` in the view, or null.
[[nodiscard]] view::entry_host const* find_host(step const& current, std::string_view name);

} // namespace pistachiohub::forward
