#include "plugins/placement/move_sample.hpp"

#include <array>

namespace pistachiohub::placement
{

std::string_view to_string(move_cause cause)
{
    // In the order of the enumeration.
    constexpr std::array<std::string_view, move_cause_count + 1> names{
        "none", "joined", "left", "weights", "overflow", "returned"};
    return names.at(static_cast<std::size_t>(cause));
}

} // namespace pistachiohub::placement
