#pragma once

/// @file
/// Choice of the destination of a request's next attempt.

#include "kernel/clock.hpp"
#include "libraries/outcome/outcome.hpp"
#include "libraries/view/world_view.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace pistachiohub::steer
{

/// This daemon's use of one backend server, at the same index as in the world view.
struct server_usage
{
    /// Requests of this daemon that the server runs.
    std::uint32_t in_flight = 0;
    /// The server runs a suspect request, which must run alone.
    bool is_exclusive = false;
    /// Requests that the server refused before starting them, since it last answered one.
    std::uint32_t refusals = 0;
    kernel::monotonic_time last_refusal;
};

/// Properties of a request that the choice depends on.
struct request_facts
{
    view::index service = view::no_index;
    /// Names of the backend servers that earlier attempts of this request used.
    std::span<std::string const> tried_backend_servers;
    /// Names of the entry hosts of other failure domains that earlier attempts of this request
    /// used.
    std::span<std::string const> tried_entry_hosts;
    /// The request may crash its backend server, so it must run alone there.
    bool is_suspect = false;
    /// The request was relayed from another failure domain, so it is not relayed again.
    bool is_foreign = false;
};

/// Requests of one service that are relayed to one entry host and still in flight.
struct credit_usage
{
    std::string entry_host;
    view::index service = view::no_index;
    std::uint32_t in_flight = 0;
};

/// Kinds of destination.
enum class destination_kind
{
    backend_server,
    /// An entry host of a sibling failure domain of the region; not a shift.
    sibling,
    /// An entry host of another region; subject to the shift cap and the link budget.
    shift,
    /// No free slot now: the request waits in the queue until one is free or its deadline is near.
    wait,
    /// No destination, and waiting would not provide one.
    refuse
};

/// Result of choose().
struct destination
{
    destination_kind kind = destination_kind::refuse;
    /// For `backend_server`: index into the view's backend servers.
    view::index backend_server = view::no_index;
    /// For `sibling` and `shift`: index into the view's entry hosts.
    view::index entry_host = view::no_index;
    /// For `wait` and `refuse`: the reason.
    reason cause = reason::ok;
};

/// Chooses a destination in the own failure domain, then in sibling failure domains, then in other
/// regions that the policy allows.
///
/// In mode `capped`, an entry host elsewhere is chosen only if it has granted an unexpired credit
/// for more slots than are in use. The caller still has to check the shift cap and the link budget.
/// @param usage this daemon's use of each backend server of the view.
/// @param credits_in_use relayed requests in flight for each entry host and service.
/// @param random a random number, for random draws among candidates and for breaking ties.
[[nodiscard]] destination choose(view::world_view const& world,
                                 std::span<server_usage const> usage,
                                 std::span<credit_usage const> credits_in_use,
                                 request_facts const& request,
                                 kernel::monotonic_time now,
                                 std::uint64_t random);

/// @returns the weight of a load report at `now`: 1 for 5 s after the report, then falling linearly
/// to 0 over 30 s, so that a missing report never attracts traffic.
[[nodiscard]] double report_weight(kernel::monotonic_time reported_at, kernel::monotonic_time now);

/// @returns the number of slots of each service that foreign requests may use at `now`: the free
/// slots of this daemon's shares minus the policy's headroom, in the order of the configuration's
/// services.
[[nodiscard]] std::vector<std::uint32_t> spare_foreign_slots(view::world_view const& world,
                                                             std::span<server_usage const> usage,
                                                             kernel::monotonic_time now);

} // namespace pistachiohub::steer
