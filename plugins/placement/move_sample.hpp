#pragma once

/// @file
/// Counts objects that change their backend server, in a sample of the objects.

#include "kernel/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

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

/// Number of objects in the sample.
inline constexpr std::size_t sampled_objects = 512;

/// Time without a request after which another object takes the place of one in the sample.
inline constexpr std::chrono::seconds sample_retention{60};

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
    kernel::monotonic_time at;
};

/// What one request says of its object.
struct object_move
{
    /// `none` if the object did not change its server or is not in the sample.
    move_cause cause = move_cause::none;
    /// Whether the first server changed because servers joined or left. The number of these objects
    /// is the fewest that any placement in proportion to the slots would move.
    bool is_required = false;
};

/// The last server of each sampled object. Objects are sampled by their hash.
struct move_sample
{
    /// Empty before the first request.
    std::vector<placed_request> objects;
};

/// Records where a request runs.
/// @param is_available returns whether requests may still be sent to the server of a hash.
[[nodiscard]] object_move record_placement(move_sample& sample,
                                           placed_request const& placed,
                                           std::function<bool(std::uint64_t)> const& is_available);

} // namespace pistachiohub::placement
