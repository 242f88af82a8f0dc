#pragma once

/// @file
/// The request coordinator: a state machine that turns events into actions. It reads no clock and
/// starts no thread.

#include "kernel/clock.hpp"
#include "libraries/events/forward_event.hpp"
#include "libraries/view/world_view.hpp"
#include "plugins/forward/action.hpp"
#include "plugins/forward/drain.hpp"
#include "plugins/forward/owner_forwarding.hpp"
#include "plugins/forward/relay_limits.hpp"
#include "plugins/forward/relay_receiver.hpp"
#include "plugins/forward/request_table.hpp"
#include "plugins/forward/server_slots.hpp"
#include "plugins/forward/waiting_queue.hpp"
#include "plugins/limit/link_budget.hpp"
#include "plugins/limit/shift_window.hpp"
#include "plugins/retry/quarantine.hpp"
#include "plugins/retry/retry_budget.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace pistachiohub::forward
{

/// Interval at which usage is reported to the control duty.
inline constexpr kernel::duration usage_report_interval = std::chrono::milliseconds(100);
/// Interval at which expired state is dropped.
inline constexpr kernel::duration cleanup_interval = std::chrono::seconds(1);

/// State of one service.
struct service_state
{
    retry::retry_budget retries;
    limit::shift_window shifts;
    /// Moving average of the answer size in bytes, used to charge the link budget.
    double answer_bytes = 0;
    /// Moving average of the time from dispatch to answer in this failure domain; zero until the
    /// first answer.
    kernel::duration run_time{0};
    /// Number of selections made so far with round-robin steering.
    std::uint64_t round_robin_count = 0;
};

/// Target of a dispatch number: an attempt of a request that this daemon owns, or an attempt that
/// another daemon relayed to it.
struct dispatch_target
{
    request* own = nullptr;
    std::uint32_t attempt = 0;
    relay_run* relayed = nullptr;
};

/// All state of the coordinator.
struct coordinator
{
    request_table requests;
    waiting_queue queue;
    relay_table relays;
    forwarding_table forwards;
    drain_state drain;
    std::unordered_map<std::uint64_t, dispatch_target> dispatches;
    slot_table servers;
    credit_table credits;
    std::map<std::string, service_state, std::less<>> services;
    /// Budgets of the links to other regions, by region.
    std::map<std::string, limit::link_budget, std::less<>> links;
    retry::quarantine quarantine;
    std::uint64_t next_dispatch = 1;
    std::uint64_t next_generated_id = 1;
    kernel::monotonic_time last_usage_report;
    kernel::monotonic_time last_cleanup;
};

/// @returns the number of open requests of this daemon and of relayed attempts that may still run.
[[nodiscard]] std::uint32_t requests_in_flight(coordinator const& state);

/// Handles an event.
/// @param world the current view. Its `own_incarnation` must be the same in all calls.
/// @param now the current time. It must not decrease from call to call.
/// @param random a random number, from which all random choices of this call are derived.
/// @returns the actions to carry out, in order. The failure of an action must be passed back as the
/// corresponding event.
[[nodiscard]] std::vector<action> handle(coordinator& state,
                                         events::forward_event event,
                                         view::world_view const& world,
                                         kernel::monotonic_time now,
                                         std::uint64_t random);

/// Handles expired timers and periodic work. It is called about every 10 ms; the parameters and the
/// result are those of `handle`.
[[nodiscard]] std::vector<action> tick(coordinator& state,
                                       view::world_view const& world,
                                       kernel::monotonic_time now,
                                       std::uint64_t random);

} // namespace pistachiohub::forward
