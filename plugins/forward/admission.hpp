#pragma once

/// @file
/// Admission of requests whose ids this incarnation owns (rule R1): a new request is accepted or
/// refused, and a re-sent one joins the request that is already known.

#include "libraries/events/forward_event.hpp"

#include <cstdint>
#include <string_view>

namespace pistachiohub::forward
{

struct step;

/// Handles a request from a caller that is connected to this daemon. A request that another
/// incarnation owns is forwarded to it.
void receive_request(step& current, events::caller_request subject);

/// Handles a re-sent request that another daemon forwarded to this one as its owner.
void receive_submit(step& current,
                    messages::submit content,
                    std::string_view sender,
                    std::uint64_t sender_incarnation);

/// Queues a request for dispatch once its intent is durable in the journal.
void apply_intent_durable(step& current, identity::request_id const& id);

/// Closes a request whose intent was not and will not be written to the journal.
void apply_intent_refused(step& current, identity::request_id const& id);

} // namespace pistachiohub::forward
