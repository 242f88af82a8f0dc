#pragma once

/// @file
/// Keeps customers in force that a newer configuration holds in a form that cannot be read.

#include "libraries/routing/routing_table.hpp"

#include <string>
#include <vector>

namespace pistachiohub::customer
{

/// Replaces each unreadable customer of `next` by its version in `previous`, if that can be read.
/// The keys are those of `next` where all of them can be read, so that a key that was removed does
/// not stay valid. Otherwise they are those of `previous`, without the ones that another customer
/// lists now, and those of `next`. If no customer can be read, all of `previous` stay.
/// @returns the names of the customers that were kept.
std::vector<std::string> keep_readable(routing::routing_document& next,
                                       routing::routing_document const& previous);

/// @returns the names of the customers that list a key which another customer lists, too.
[[nodiscard]] std::vector<std::string> names_with_shared_keys(routing::routing_table const& table);

} // namespace pistachiohub::customer
