#include "plugins/customer/contact.hpp"

#include <algorithm>

namespace pistachiohub::customer
{

namespace
{

// Callers are served for as long as possible, and the remaining fifth covers timer delays.
constexpr double part_of_revocation = 0.8;

} // namespace

std::chrono::milliseconds longest_contact_age(kernel::gateway_bounds const& bounds)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double, std::milli>(bounds.revocation) * part_of_revocation);
}

contact make_contact(kernel::gateway_bounds const& bounds)
{
    auto const longest_age = longest_contact_age(bounds);
    return {bounds.has_strict_revocation,
            longest_age,
            std::min(longest_age, bounds.configuration_apply),
            std::nullopt};
}

void note_confirmation(contact& state, kernel::boot_time begun_at)
{
    state.confirmed_at = std::max(state.confirmed_at.value_or(begun_at), begun_at);
}

trust trust_at(contact const& state, kernel::boot_time now)
{
    if (!state.is_strict)
        return {};
    if (!state.confirmed_at)
        return {false, false};
    auto const age = now - *state.confirmed_at;
    return {age <= state.longest_age, age <= state.longest_age_of_unknown};
}

} // namespace pistachiohub::customer
