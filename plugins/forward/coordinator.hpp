#pragma once

/// @file
/// The request coordinator: events in, actions out. It reads no clock and uses no thread.

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

/// Time between two usage reports to the control duty.
inline constexpr kernel::duration usage_report_interval = std::chrono::milliseconds(100);
/// Time between two searches for expired state.
inline constexpr kernel::duration cleanup_interval = std::chrono::seconds(1);

/// What is kept for each service.
struct service_state
{
    retry::retry_budget retries;
    limit::shift_window shifts;
    /// Moving average of the size of answers, in bytes; used to charge the link budget.
    double answer_bytes = 0;
    /// Moving average of the time from dispatch to answer of runs in this failure domain; zero
    /// before the first.
    kernel::duration run_time{0};
    /// Turn of the round-robin baseline.
    std::uint64_t turn = 0;
};

/// What a dispatch number stands for: an attempt of an own request, or a relayed run.
struct dispatch_target
{
    request* own = nullptr;
    std::uint32_t attempt = 0;
    relay_run* foreign = nullptr;
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

/// @returns the own requests and relayed attempts that have not ended.
[[nodiscard]] std::uint32_t requests_in_flight(coordinator const& state);

/// Applies an event.
/// @param world the current view; its own incarnation must be the same in all calls.
/// @param now monotonic time; must not decrease from call to call.
/// @param random a random number.
/// @returns what to do, in order. The result of an action that fails must be given back as the
/// matching event.
[[nodiscard]] std::vector<action> handle(coordinator& state,
                                         events::forward_event event,
                                         view::world_view const& world,
                                         kernel::monotonic_time now,
                                         std::uint64_t random);

/// Applies the passing of time; called about every 10 ms.
[[nodiscard]] std::vector<action> tick(coordinator& state,
                                       view::world_view const& world,
                                       kernel::monotonic_time now,
                                       std::uint64_t random);

} // namespace pistachiohub::forward
