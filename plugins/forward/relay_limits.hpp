#pragma once

/// @file
/// What limits relayed attempts: credits of other daemons, the shift cap and link budgets.

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

/// Relayed attempts in flight by entry host and service. Names are kept, because indices change
/// with the configuration.
using credit_table = std::map<std::pair<std::string, std::string>, std::uint32_t>;

/// @returns the credits in use, with the indices of the current view.
[[nodiscard]] std::vector<steer::credit_usage> list_credits(credit_table const& credits,
                                                            view::world_view const& world);

/// Takes one credit of a service at an entry host.
void take_credit(credit_table& credits, std::string_view entry_host, std::string_view service);

/// Gives back the credit of a relayed attempt, if it holds one.
void release_credit(credit_table& credits, attempt& item, std::string_view service);

/// Counts a relay to another region if the shift cap and the link budget allow it.
/// @returns true if it may be sent.
[[nodiscard]] bool
try_shift(step& current, request const& subject, view::entry_host const& destination);

/// Takes back the count of a shift that was not sent.
void return_shift(step& current, std::string_view service);

} // namespace pistachiohub::forward
