#pragma once

/// @file
/// The actions that a step of the coordinator returns, for the forward duty to carry out.

#include "kernel/log.hpp"
#include "libraries/events/backend_command.hpp"
#include "libraries/events/control_event.hpp"
#include "libraries/events/front_reply.hpp"
#include "libraries/events/peer_command.hpp"
#include "libraries/events/store_command.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace pistachiohub::forward
{

/// Counters that the coordinator increments.
enum class metric
{
    /// Requests and relays refused, by reason.
    refusals,
    /// Attempts after the first, by the reason why the earlier one failed.
    retries,
    /// Final outcomes of the ids that this daemon owns, each counted once.
    outcomes,
    /// Unresolved ids whose outcome became known later, by that outcome.
    late_settlements
};

/// Increments a counter by one.
struct counter_increment
{
    metric which = metric::refusals;
    /// Value of the counter's label: the name of a reason or an outcome. Points to a string
    /// literal.
    std::string_view label;
};

/// A structured log line.
struct log_entry
{
    kernel::log_level level = kernel::log_level::info;
    /// Name of the event; points to a string literal.
    std::string_view event;
    std::vector<std::pair<std::string_view, std::string>> fields;
};

/// A message to another duty, a counter increment or a log line.
using action = std::variant<events::front_reply,
                            events::backend_command,
                            events::peer_command,
                            events::store_command,
                            events::control_event,
                            counter_increment,
                            log_entry>;

} // namespace pistachiohub::forward
