#pragma once

/// @file
/// How long the configuration may be used to judge keys without being confirmed.

#include "kernel/clock.hpp"
#include "kernel/gateway_settings.hpp"

#include <chrono>
#include <optional>

namespace pistachiohub::customer
{

/// @returns the age of the contact above which a host refuses requests with keys: 0.8 x revocation.
/// The remaining fifth covers the delays of timers.
[[nodiscard]] std::chrono::milliseconds longest_contact_age(kernel::gateway_bounds const& bounds);

/// The contact of this host with the store, as far as the configuration is concerned. A plain value
/// without a clock.
struct contact
{
    /// Whether keys are judged only by a configuration that was confirmed lately.
    bool is_strict = false;
    /// Age above which a key may have been removed for too long.
    std::chrono::milliseconds longest_age{0};
    /// Age above which a key that is not known may have been added for too long.
    std::chrono::milliseconds longest_age_of_unknown{0};
    /// Begin of the latest call that confirmed the configuration in force; missing before the
    /// first.
    std::optional<kernel::boot_time> confirmed_at;
};

[[nodiscard]] contact make_contact(kernel::gateway_bounds const& bounds);

/// Notes that a call confirmed the configuration in force.
void note_confirmation(contact& state, kernel::boot_time begun_at);

/// What may be concluded from the configuration in force.
struct trust
{
    /// A key that it lists was not removed too long ago.
    bool in_known_keys = true;
    /// A key that it does not list was not added too long ago.
    bool in_unknown_keys = true;
};

/// @param now a time at or after the arrival of the last byte of the request that is judged, so
/// that the request was not sent later than that.
[[nodiscard]] trust trust_at(contact const& state, kernel::boot_time now);

} // namespace pistachiohub::customer
