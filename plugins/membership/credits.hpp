#pragma once

/// @file
/// Division of this daemon's spare slots among the hosts that it offers them to.

#include "libraries/messages/peer_message.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace pistachiohub::membership
{

/// Divides spare slots, so that the credits of one round sum to no more than the spare slots.
///
/// The remainder of the division goes to different recipients in each round.
/// @param spare spare slots of each service.
/// @param recipients number of hosts that get credits.
/// @param recipient position of one of them.
/// @param round number of the round.
/// @returns the credits of that recipient; services without any are left out.
[[nodiscard]] std::vector<messages::service_credit>
split_credits(std::span<messages::service_credit const> spare,
              std::size_t recipients,
              std::size_t recipient,
              std::uint64_t round);

} // namespace pistachiohub::membership
