#include "plugins/placement/move_sample.hpp"

#include <array>
#include <utility>

namespace pistachiohub::placement
{

namespace
{

// Returns why an object that is at another server than before has moved.
move_cause
cause_of(placed_request const& placed, placed_request const& earlier, move_cause change_of_first)
{
    if (placed.server != placed.first)
        return move_cause::overflow;
    return placed.first == earlier.first ? move_cause::returned : change_of_first;
}

} // namespace

std::string_view to_string(move_cause cause)
{
    // In the order of the enumeration.
    constexpr std::array<std::string_view, move_cause_count + 1> names{
        "none", "joined", "left", "weights", "overflow", "returned"};
    return names.at(static_cast<std::size_t>(cause));
}

object_move record_placement(move_sample& sample,
                             placed_request const& placed,
                             std::function<bool(std::uint64_t)> const& is_available)
{
    sample.objects.resize(sampled_objects);
    auto& entry = sample.objects[placed.object % sampled_objects];
    bool const is_free = entry.server == 0 || placed.at - entry.at > sample_retention;
    if (entry.object != placed.object && !is_free)
        return {};
    auto const earlier = std::exchange(entry, placed);
    if (is_free)
        return {};
    auto change = move_cause::none;
    if (placed.first != earlier.first && placed.first_added > earlier.last_added)
        change = move_cause::joined;
    else if (placed.first != earlier.first)
        change = is_available(earlier.first) ? move_cause::weights : move_cause::left;
    object_move result;
    result.is_required = change == move_cause::joined || change == move_cause::left;
    if (placed.server != earlier.server)
        result.cause = cause_of(placed, earlier, change);
    return result;
}

} // namespace pistachiohub::placement
