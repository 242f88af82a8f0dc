#pragma once

/// @file
/// Decides which customer a request belongs to, and whether it is refused for its key.

#include "libraries/routing/routing_table.hpp"
#include "plugins/customer/contact.hpp"

#include <optional>
#include <string_view>

namespace pistachiohub::customer
{

/// Why a request is refused for its key.
enum class refusal_cause
{
    /// It is not refused.
    none,
    /// The request has no key, or several.
    no_key,
    /// No customer has the key.
    unknown_key,
    /// Several customers claim the key.
    shared_key,
    /// The customer that has the key cannot be read, and no earlier version of it is known.
    unreadable_customer,
    /// The table of customers cannot be read, so that the key may be that of any.
    unreadable_customers,
    /// The configuration was confirmed too long ago to judge the key.
    old_contact
};

/// @returns the name used in logs and metric labels.
[[nodiscard]] std::string_view to_string(refusal_cause value);

/// Result of identify().
struct identity
{
    /// The customer of the request, part of the table; null without one.
    routing::customer const* holder = nullptr;
    refusal_cause cause = refusal_cause::none;
};

/// Identifies the customer of a request in constant time.
///
/// A request of an exempt route is never refused here. It has no customer unless its key is known
/// beyond doubt: a removed key must not lend the name of its customer either.
/// @param is_exempt whether the request's route needs no key.
/// @param key key of the request; missing without one, and if there were several.
[[nodiscard]] identity identify(routing::routing_table const& table,
                                bool is_exempt,
                                std::optional<std::string_view> key,
                                trust const& trusted);

} // namespace pistachiohub::customer
