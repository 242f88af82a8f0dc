#pragma once

/// @file
/// What the coordinator asks its thread to do.

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

/// The counters of this module.
enum class metric
{
    /// Requests and relays refused, by reason.
    refusals,
    /// Attempts after the first, by the reason why the earlier one failed.
    retries,
    /// Final outcomes of the ids that this daemon owns, each counted once.
    outcomes,
    /// Unresolved ids that were settled later, by the outcome they got.
    late_settlements
};

/// Adds one to a counter.
struct metric_count
{
    metric which = metric::refusals;
    /// Name of a reason or an outcome; points to a string literal.
    std::string_view label;
};

/// One structured log line.
struct log_note
{
    kernel::log_level level = kernel::log_level::info;
    /// Points to a string literal.
    std::string_view event;
    std::vector<std::pair<std::string_view, std::string>> fields;
};

/// Any action.
using action = std::variant<events::front_reply,
                            events::backend_command,
                            events::peer_command,
                            events::store_command,
                            events::control_event,
                            metric_count,
                            log_note>;

} // namespace pistachiohub::forward
