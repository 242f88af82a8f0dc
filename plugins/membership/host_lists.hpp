#pragma once

/// @file
/// Host lists as held, and their exchange between the daemons of a failure domain.

#include "kernel/clock.hpp"
#include "libraries/events/control_event.hpp"
#include "libraries/messages/peer_message.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::membership
{

/// Shortest time between two requests to one peer: a round of heartbeats.
inline constexpr kernel::duration list_request_interval = std::chrono::milliseconds(500);
/// Shortest time between two requests to any peer, so that one change is not fetched from every
/// peer that names it.
inline constexpr kernel::duration any_list_request_interval = std::chrono::milliseconds(50);

/// Received part of an answer to `host_list_request`.
struct answer_progress
{
    std::uint64_t reached_revision = 0;
    std::uint32_t next_position = 0;
};

/// The newest host list of each failure domain.
struct held_host_lists
{
    std::map<std::string, events::host_list_received, std::less<>> lists;
    /// Highest store revision up to which all lists are known.
    std::uint64_t revision = 0;
    std::map<std::string, answer_progress> answers;
    std::map<std::string, kernel::monotonic_time> request_times;
    std::optional<kernel::monotonic_time> last_request;
};

/// What a received list is compared with the held one.
enum class list_news
{
    older,
    /// Read later with the same content, or read at the same revision.
    confirmed,
    changed
};

/// Holds a list unless a newer one is held.
[[nodiscard]] list_news accept_list(held_host_lists& held, events::host_list_received const& list);

/// Notes the result of a poll of the store.
void apply_poll(held_host_lists& held, events::host_list_polled const& poll);

/// Notes that a message of an answer came, and raises the held revision with the last one of a
/// whole answer.
void apply_answer(held_host_lists& held,
                  std::string const& sender,
                  messages::host_list const& message);

/// @returns true if `peer`, which knows the lists up to `revision`, is to be asked now.
[[nodiscard]] bool should_request_lists(held_host_lists& held,
                                        std::string const& peer,
                                        std::uint64_t revision,
                                        kernel::monotonic_time now);

/// @returns the answer to a daemon that knows the lists up to `revision`; empty if it knows as
/// much.
[[nodiscard]] std::vector<messages::host_list> make_answer(held_host_lists const& held,
                                                           std::string_view own_failure_domain,
                                                           std::uint64_t revision);

/// @returns a message with `list` that is not part of an answer.
[[nodiscard]] messages::host_list make_list_message(events::host_list_received const& list);

} // namespace pistachiohub::membership
