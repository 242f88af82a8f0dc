#pragma once

/// @file
/// Rendezvous hashing: all daemons prefer the same backend servers for an object without talking.

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace pistachiohub::gateway
{

/// A server that may be chosen.
struct affinity_candidate
{
    /// Hash of the server's id.
    std::uint64_t server_hash = 0;
    /// Weight; servers get keys in proportion.
    double weight = 1;
};

/// @returns the hash of an id or key.
[[nodiscard]] std::uint64_t hash_text(std::string_view text);

/// @returns a number in `[0, 1)` that is even over the keys and independent of the scores.
[[nodiscard]] double position_of_key(std::uint64_t key_hash);

/// @returns the rank of a server for a key: higher is better. Weighted rendezvous hashing: when a
/// server joins or leaves, only its own keys move.
[[nodiscard]] double affinity_score(std::uint64_t key_hash, affinity_candidate const& candidate);

/// @returns the positions of the `count` candidates with the highest scores, the best one first.
[[nodiscard]] std::vector<std::size_t> rank_by_affinity(
    std::uint64_t key_hash, std::span<affinity_candidate const> candidates, std::size_t count);

} // namespace pistachiohub::gateway
