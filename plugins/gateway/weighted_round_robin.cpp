#include "plugins/gateway/weighted_round_robin.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

std::size_t select_next_part(weighted_round_robin& state,
                             std::vector<routing::split_part> const& split)
{
    state.current_weights.resize(split.size(), 0);
    std::int64_t total = 0;
    for (std::size_t position = 0; position < split.size(); ++position)
    {
        state.current_weights[position] += split[position].weight;
        total += split[position].weight;
    }
    auto const selected =
        std::max_element(state.current_weights.begin(), state.current_weights.end());
    *selected -= total;
    return static_cast<std::size_t>(selected - state.current_weights.begin());
}

} // namespace pistachiohub::gateway
