#pragma once

/// @file
/// Re-sent requests that another daemon owns: they are forwarded to it, or its journal is read.

#include "libraries/events/forward_event.hpp"
#include "plugins/forward/request_table.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::forward
{

struct step;

/// Most re-sent requests that wait for their owners.
inline constexpr std::size_t most_forwards = 4096;

/// A caller that waits for the owner's answer.
struct forward_wait
{
    waiter recipient;
    identity::request_id id;
    std::string service;
    /// True while the owner's journal is being read.
    bool is_fencing = false;
};

/// All forwarded requests, by the exchange number in their `submit`.
struct forwarding_table
{
    std::map<std::uint64_t, forward_wait> waits;
    std::uint64_t next_exchange = 1;
};

/// @returns true if no caller waits.
[[nodiscard]] bool is_empty(forwarding_table const& table);

/// Handles a caller's request whose id names another incarnation than this one (R2, R5, R6).
void forward_to_owner(step& current, events::caller_request subject);

/// Applies the owner's answer.
void apply_submit_reply(step& current,
                        messages::submit_reply const& reply,
                        std::string_view sender,
                        std::uint64_t sender_incarnation);

/// Applies the proof that a `submit` never left this daemon.
void apply_submit_unsent(step& current, messages::submit const& unsent);

/// Applies what the journal of a fenced owner says.
void apply_fence(step& current, events::fence_result const& result);

/// Ends waits whose deadline has passed or whose owner has become unreachable.
void check_forwards(step& current);

} // namespace pistachiohub::forward
