#include "plugins/gateway/affinity.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace pistachiohub::gateway
{

namespace
{

constexpr std::uint64_t sample_seed = 0x706f736974696f6eULL;
// A double represents every integer below 2^53 exactly.
constexpr unsigned mantissa_bits = 53;

// Maps a hash to [0, 1).
double to_unit_interval(std::uint64_t hash)
{
    constexpr unsigned all_bits = 64;
    return std::ldexp(static_cast<double>(hash >> (all_bits - mantissa_bits)),
                      -static_cast<int>(mantissa_bits));
}

std::uint64_t combine_hashes(std::uint64_t left, std::uint64_t right)
{
    return XXH64(&left, sizeof(left), right);
}

} // namespace

std::uint64_t hash_text(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

double uniform_sample_of_key(std::uint64_t key_hash)
{
    return to_unit_interval(combine_hashes(key_hash, sample_seed));
}

double affinity_score(std::uint64_t key_hash, affinity_candidate const& candidate)
{
    // With u uniform in (0, 1), the highest -weight / ln(u) selects each server in proportion to
    // its weight.
    auto const uniform = to_unit_interval(combine_hashes(key_hash, candidate.server_hash));
    // Avoids the logarithm of 0.
    constexpr double log_guard = 1e-18;
    return -candidate.weight / std::log(uniform + log_guard);
}

std::vector<std::size_t> rank_by_affinity(std::uint64_t key_hash,
                                          std::span<affinity_candidate const> candidates,
                                          std::size_t count)
{
    std::vector<double> scores;
    std::vector<std::size_t> order;
    scores.reserve(candidates.size());
    order.reserve(candidates.size());
    for (auto const& candidate : candidates)
    {
        order.push_back(scores.size());
        scores.push_back(affinity_score(key_hash, candidate));
    }
    auto const ranked_end =
        order.begin() + static_cast<std::ptrdiff_t>(std::min(count, order.size()));
    std::partial_sort(order.begin(),
                      ranked_end,
                      order.end(),
                      [&scores](std::size_t left, std::size_t right)
                      {
                          return scores[left] > scores[right];
                      });
    order.erase(ranked_end, order.end());
    return order;
}

} // namespace pistachiohub::gateway
