#pragma once

/// @file
/// Admission of requests that this incarnation owns: join, refuse or accept (rule R1).

#include "libraries/events/forward_event.hpp"

#include <cstdint>
#include <string_view>

namespace pistachiohub::forward
{

struct step;

/// Handles a request of a caller of this daemon.
void receive_request(step& current, events::caller_request subject);

/// Handles a re-sent request that another daemon forwarded.
void receive_submit(step& current,
                    messages::submit content,
                    std::string_view sender,
                    std::uint64_t sender_incarnation);

/// The journal holds the intent, so that the request may be dispatched.
void apply_intent_durable(step& current, identity::request_id const& id);

/// The journal does not and will not hold the intent.
void apply_intent_refused(step& current, identity::request_id const& id);

} // namespace pistachiohub::forward
