#pragma once

/// @file
/// Limits on relayed attempts: credits granted by other daemons, the cap on requests shifted to
/// other regions, and the bandwidth budgets of the links.

#include "libraries/view/world_view.hpp"
#include "plugins/forward/request_table.hpp"
#include "plugins/steer/destination.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachiohub::forward
{

struct step;

/// Number of relayed attempts in flight, keyed by entry host name and service name. Indices would
/// not be stable keys, because they change with the configuration.
using credit_table = std::map<std::pair<std::string, std::string>, std::uint32_t>;

/// @returns the credits in use, with service names resolved to indices of `world`.
[[nodiscard]] std::vector<steer::credit_usage> list_credits(credit_table const& credits,
                                                            view::world_view const& world);

/// Takes one credit for a service at an entry host.
void take_credit(credit_table& credits, std::string_view entry_host, std::string_view service);

/// Releases the credit of a relayed attempt, if it holds one.
void release_credit(credit_table& credits, attempt& item, std::string_view service);

/// Counts a relay to another region against the shift cap and the link budget, if both allow it.
/// @returns true if the relay may be sent.
[[nodiscard]] bool
try_shift(step& current, request const& subject, view::entry_host const& destination);

/// Reverts the count of a shift that was not sent. The link budget is not refunded.
void undo_shift(step& current, std::string_view service);

} // namespace pistachiohub::forward
