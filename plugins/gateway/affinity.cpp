#include "plugins/gateway/affinity.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace pistachiohub::gateway
{

namespace
{

constexpr std::uint64_t position_seed = 0x706f736974696f6eULL;
// Numbers below 2^53 are exact in a double.
constexpr unsigned unit_bits = 53;

double to_unit(std::uint64_t hash)
{
    constexpr unsigned all_bits = 64;
    return std::ldexp(static_cast<double>(hash >> (all_bits - unit_bits)),
                      -static_cast<int>(unit_bits));
}

std::uint64_t mix(std::uint64_t left, std::uint64_t right)
{
    return XXH64(&left, sizeof(left), right);
}

} // namespace

std::uint64_t hash_text(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

double position_of_key(std::uint64_t key_hash)
{
    return to_unit(mix(key_hash, position_seed));
}

double affinity_score(std::uint64_t key_hash, affinity_candidate const& candidate)
{
    // -weight / ln(u) for an even u in (0, 1) gives each server keys in proportion to its weight.
    auto const unit = to_unit(mix(key_hash, candidate.server_hash));
    constexpr double smallest = 1e-18;
    return -candidate.weight / std::log(unit + smallest);
}

std::vector<std::size_t> rank_by_affinity(std::uint64_t key_hash,
                                          std::span<affinity_candidate const> candidates,
                                          std::size_t count)
{
    std::vector<double> scores;
    std::vector<std::size_t> order;
    for (auto const& candidate : candidates)
    {
        order.push_back(scores.size());
        scores.push_back(affinity_score(key_hash, candidate));
    }
    auto const kept = order.begin() + static_cast<std::ptrdiff_t>(std::min(count, order.size()));
    std::partial_sort(order.begin(),
                      kept,
                      order.end(),
                      [&scores](std::size_t left, std::size_t right)
                      {
                          return scores[left] > scores[right];
                      });
    order.erase(kept, order.end());
    return order;
}

} // namespace pistachiohub::gateway
