#pragma once

/// @file
/// Rendezvous (highest random weight) hashing. All daemons compute the same order from names alone.

#include <cstdint>
#include <string_view>

namespace pistachiohub::view
{

/// @returns the seed that stands for `key` in rendezvous_weight().
[[nodiscard]] std::uint64_t rendezvous_seed(std::string_view key);

/// @returns the weight of `candidate` for the key of `seed`; the highest weight comes first.
[[nodiscard]] std::uint64_t rendezvous_weight(std::uint64_t seed, std::string_view candidate);

} // namespace pistachiohub::view
