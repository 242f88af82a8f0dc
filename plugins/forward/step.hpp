#pragma once

/// @file
/// The inputs and the collected actions of one step of the coordinator.

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

/// One step: an event or a tick.
struct step
{
    coordinator& state;
    view::world_view const& world;
    kernel::monotonic_time now;
    std::uint64_t random = 0;
    std::vector<action> actions;
};

/// Adds an action.
void emit(step& current, action item);

/// Sends a message to another daemon. A message to this daemon itself is never sent.
void emit_peer(step& current,
               std::string_view recipient,
               std::uint64_t recipient_incarnation,
               messages::payload content);

/// Sends a message to every other daemon that is not silent.
void emit_to_all(step& current, messages::payload const& content);

/// Adds one to a counter labelled by a reason.
void count(step& current, metric which, reason cause);

/// Adds one to a counter labelled by an outcome.
void count(step& current, metric which, outcome result);

/// Adds a log line.
void note(step& current,
          kernel::log_level level,
          std::string_view event,
          std::vector<std::pair<std::string_view, std::string>> fields);

/// @returns the next number of a sequence that depends on the step's random number only.
[[nodiscard]] std::uint64_t next_random(step& current);

/// @returns the whole milliseconds until `deadline`, 0 when it has passed.
[[nodiscard]] std::uint32_t remaining_ms(step const& current, kernel::monotonic_time deadline);

/// @returns the configured service, or null.
[[nodiscard]] configuration::service const* find_service(step const& current,
                                                         std::string_view name);

/// @returns the entry host called `name` in the view, or null.
[[nodiscard]] view::entry_host const* find_host(step const& current, std::string_view name);

} // namespace pistachiohub::forward
