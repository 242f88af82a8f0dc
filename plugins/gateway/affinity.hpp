#pragma once

/// @file
/// Weighted rendezvous hashing: all daemons rank the same backend servers first for an object
/// without exchanging messages.

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace pistachiohub::gateway
{

/// A backend server that may be selected for a key.
struct affinity_candidate
{
    /// Hash of the server's id.
    std::uint64_t server_hash = 0;
    /// Relative weight, greater than 0. A server is ranked first for a share of the keys in
    /// proportion to it.
    double weight = 1;
};

/// @returns the 64-bit hash of an id or affinity key, the same in every daemon.
[[nodiscard]] std::uint64_t hash_text(std::string_view text);

/// @returns a number in `[0, 1)` that is uniform over the keys and independent of affinity_score().
[[nodiscard]] double uniform_sample_of_key(std::uint64_t key_hash);

/// @returns the score of a server for a key; the server with the highest score is preferred. When a
/// server joins or leaves, only the keys that it is preferred for change their server.
[[nodiscard]] double affinity_score(std::uint64_t key_hash, affinity_candidate const& candidate);

/// @returns the indices of the `count` candidates with the highest scores, in descending order; all
/// candidates if there are fewer.
[[nodiscard]] std::vector<std::size_t> rank_by_affinity(
    std::uint64_t key_hash, std::span<affinity_candidate const> candidates, std::size_t count);

} // namespace pistachiohub::gateway
