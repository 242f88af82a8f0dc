#pragma once

/// @file
/// Choice among the entry hosts of other failure domains.

#include "plugins/steer/destination.hpp"

namespace pistachiohub::steer
{

/// Chooses an entry host of a sibling failure domain, or else of another region in the policy's
/// order.
///
/// Hosts are drawn with a probability proportional to their unexpired credits not yet in use, so
/// that daemons with the same stale view do not all choose the same host.
/// @returns `sibling` or `shift` with the entry host, `wait` when an allowed live host may offer
/// credits later, or `refuse`.
[[nodiscard]] destination choose_remote(view::world_view const& world,
                                        std::span<credit_usage const> credits_in_use,
                                        request_facts const& request,
                                        kernel::monotonic_time now,
                                        std::uint64_t random);

/// Baseline for comparisons: round robin over the allowed live hosts, without regard to credits.
/// @param turn a number that increases with each request, or a random one.
[[nodiscard]] destination choose_remote_round_robin(view::world_view const& world,
                                                    request_facts const& request,
                                                    std::uint64_t turn);

} // namespace pistachiohub::steer
