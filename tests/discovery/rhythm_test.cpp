#include "plugins/discovery/rhythm.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

// A store that forgets its history tells a waiting watch nothing, so the wait itself must end well
// within the bound.
TEST_CASE("feed_rhythm_any_bound_leaves_time_for_a_second_call", "[discovery]")
{
    kernel::gateway_bounds bounds;
    auto const bound = std::chrono::milliseconds(GENERATE(1000, 2000, 2500, 4000));
    bounds.configuration_apply = bound;
    bounds.evacuation = bound;
    bounds.server_drain = bound;
    for (auto const& rhythm : {discovery::configuration_rhythm(bounds),
                               discovery::evacuation_rhythm(bounds),
                               discovery::server_rhythm(bounds)})
        CHECK(rhythm.watch_wait + rhythm.spacing <= bound * 4 / 5);
}

} // namespace pistachiohub
