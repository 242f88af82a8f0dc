#include "plugins/gateway/split_rotation.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

std::size_t next_part(split_rotation& rotation, std::vector<routing::split_part> const& split)
{
    rotation.credits.resize(split.size(), 0);
    std::int64_t total = 0;
    for (std::size_t position = 0; position < split.size(); ++position)
    {
        rotation.credits[position] += split[position].weight;
        total += split[position].weight;
    }
    auto const best = std::max_element(rotation.credits.begin(), rotation.credits.end());
    *best -= total;
    return static_cast<std::size_t>(best - rotation.credits.begin());
}

} // namespace pistachiohub::gateway
