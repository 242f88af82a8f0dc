#pragma once

/// @file
/// Choice of where a request goes next.

#include "kernel/clock.hpp"
#include "libraries/outcome/outcome.hpp"
#include "libraries/view/world_view.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace pistachiohub::steer
{

/// What this daemon uses of one backend server, at the same index as in the world view.
struct server_usage
{
    std::uint32_t in_flight = 0;
    /// A suspect request runs on this server, which must run alone.
    bool is_exclusive = false;
    /// Refusals by the server before start since it last answered.
    std::uint32_t refusals = 0;
    kernel::monotonic_time last_refusal;
};

/// What the choice needs to know of a request.
struct request_facts
{
    view::index service = view::no_index;
    /// Backend servers that earlier attempts of this request used.
    std::span<std::string const> tried_backend_servers;
    /// Entry hosts of other failure domains that earlier attempts of this request used.
    std::span<std::string const> tried_entry_hosts;
    /// The request must run alone on its backend server.
    bool is_suspect = false;
    /// The request was relayed from another failure domain, so it is not relayed again.
    bool is_foreign = false;
};

/// Credits already used, at the same index as the entry hosts of the world view.
struct credit_usage
{
    std::string entry_host;
    view::index service = view::no_index;
    std::uint32_t in_flight = 0;
};

/// Where a request goes.
enum class destination_kind
{
    backend_server,
    /// An entry host of a sibling failure domain of the region; not a shift.
    sibling,
    /// An entry host of another region; subject to the shift cap and the link budget.
    shift,
    /// No place now; the request waits in the queue until a slot is free or its deadline nears.
    wait,
    /// No place that waiting could give.
    refuse
};

/// The choice.
struct destination
{
    destination_kind kind = destination_kind::refuse;
    /// For `backend_server`: index into the view's backend servers.
    view::index backend_server = view::no_index;
    /// For `sibling` and `shift`: index into the view's entry hosts.
    view::index entry_host = view::no_index;
    /// For `wait` and `refuse`: why.
    reason cause = reason::ok;
};

/// Chooses a destination: own failure domain, then siblings, then other regions the policy allows.
///
/// A destination elsewhere is offered only when it holds an unexpired credit with slots left beyond
/// those in use. The caller of this function still has to pass the shift cap and the link budget.
/// @param usage what this daemon uses of each backend server of the view.
/// @param credits_in_use relayed requests in flight for each entry host and service.
/// @param random a random number, for ties and for the choice between two.
[[nodiscard]] destination choose(view::world_view const& world,
                                 std::span<server_usage const> usage,
                                 std::span<credit_usage const> credits_in_use,
                                 request_facts const& request,
                                 kernel::monotonic_time now,
                                 std::uint64_t random);

/// @returns the weight of the reported load at `now`: 1 when fresh, constant for 5 s, then falling
/// to 0 over 30 s, so that a missing report never attracts traffic.
[[nodiscard]] double report_weight(kernel::monotonic_time reported_at, kernel::monotonic_time now);

/// @returns the slots of each service that foreign requests may use now: spare slots of this
/// daemon's shares less the policy's headroom, in the order of the configuration's services.
[[nodiscard]] std::vector<std::uint32_t> spare_foreign_slots(view::world_view const& world,
                                                             std::span<server_usage const> usage,
                                                             kernel::monotonic_time now);

} // namespace pistachiohub::steer
