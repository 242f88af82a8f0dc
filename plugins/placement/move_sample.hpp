#pragma once

/// @file
/// Counts objects that change their backend server, in a sample of the objects.

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace pistachiohub::placement
{

/// Why an object changed its server.
enum class move_cause
{
    none,
    /// The first server in the ranking of the object joined.
    joined,
    /// The earlier first server left, failed or was evacuated.
    left,
    /// The weights of the servers changed.
    weights,
    /// The first server had no room.
    overflow,
    /// The first server has room again.
    returned
};

/// Number of causes with objects that moved.
inline constexpr std::size_t move_cause_count = 5;

/// @returns the name used in metric labels.
[[nodiscard]] std::string_view to_string(move_cause cause);

/// Largest number of objects in the sample. Further objects are not counted.
inline constexpr std::size_t max_sampled_objects = 512;

/// Where one request of an object runs. Servers are identified by the hash of their id.
struct placed_request
{
    std::uint64_t object = 0;
    std::uint64_t server = 0;
    /// The first server in the ranking of the object.
    std::uint64_t first = 0;
    /// Order in which `first` was added to the table of servers.
    std::uint64_t first_added = 0;
    /// Order of the server that was added last.
    std::uint64_t last_added = 0;
};

/// The last server of each sampled object.
struct move_sample
{
    std::unordered_map<std::uint64_t, placed_request> objects;
};

/// Records where a request runs.
/// @param is_first_usable returns whether the server of the hash may still be used.
/// @returns why the object changed its server, `none` if it did not or is not in the sample. The
/// causes `joined` and `left` are the fewest moves that a change of the servers requires.
template<class Predicate>
[[nodiscard]] move_cause
record_placement(move_sample& sample, placed_request const& placed, Predicate is_first_usable)
{
    auto const found = sample.objects.find(placed.object);
    if (found == sample.objects.end())
    {
        if (sample.objects.size() < max_sampled_objects)
            sample.objects.emplace(placed.object, placed);
        return move_cause::none;
    }
    auto const earlier = found->second;
    found->second = placed;
    if (placed.server == earlier.server)
        return move_cause::none;
    if (placed.server != placed.first)
        return move_cause::overflow;
    if (placed.first == earlier.first)
        return move_cause::returned;
    if (placed.first_added > earlier.last_added)
        return move_cause::joined;
    return is_first_usable(earlier.first) ? move_cause::weights : move_cause::left;
}

} // namespace pistachiohub::placement
