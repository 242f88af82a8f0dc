#pragma once

/// @file
/// Messages to the store writer, which owns this incarnation's settlement and journal objects.

#include "libraries/identity/request_id.hpp"
#include "libraries/outcome/outcome.hpp"

#include <functional>
#include <string>
#include <variant>

namespace pistachiohub::events
{

/// Counts the final outcome of an id for the settlement.
struct settle_request
{
    identity::request_id id;
    std::string service;
    outcome result = outcome::unresolved;
    reason cause = reason::ok;
    /// True when the id was counted as unresolved before.
    bool was_unresolved = false;
    /// True when the intent of the id is in the journal, so that the outcome goes there too.
    bool is_journaled = false;
};

/// Writes the intent to dispatch `id`; answered by `intent_durable` or `intent_refused`.
struct append_intent
{
    identity::request_id id;
};

/// Fences the journal of the owner of `id` and reads it; answered by `fence_result`.
struct fence_owner
{
    identity::request_id id;
};

/// Writes all counters, then calls `flushed` on the writer's thread; used by the graceful shutdown.
struct flush_settlement
{
    std::function<void()> flushed;
};

/// Any message to the store writer.
using store_command = std::variant<settle_request, append_intent, fence_owner, flush_settlement>;

} // namespace pistachiohub::events
