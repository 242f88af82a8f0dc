#include "plugins/customer/contact.hpp"
#include "plugins/discovery/rhythm.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

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

// The daemon from which this one reads may be lost, or lose the store, at the worst moment: what it
// last told is as old as permitted, the next question is never answered, and the store must still
// be asked within the bound.
TEST_CASE("feed_rhythm_lost_relay_leaves_time_for_the_store", "[discovery]")
{
    kernel::gateway_bounds bounds;
    auto const bound = std::chrono::milliseconds(GENERATE(1000, 2000, 2500, 5000));
    bounds.configuration_apply = bound;
    bounds.evacuation = bound;
    bounds.server_drain = bound;
    for (auto const& rhythm : {discovery::configuration_rhythm(bounds),
                               discovery::evacuation_rhythm(bounds),
                               discovery::server_rhythm(bounds)})
    {
        CHECK(rhythm.longest_age + rhythm.relay_wait + rhythm.relay_timeout <= bound * 9 / 10);
        // Otherwise a daemon that reads the store without trouble could not pass it on.
        CHECK(std::max(rhythm.watch_wait, rhythm.spacing) + rhythm.watch_wait < rhythm.longest_age);
    }
}

// A host that reads through another one, without any fault, must not refuse keys because its
// contact looks too old.
TEST_CASE("feed_rhythm_with_strict_revocation_keeps_the_contact_young", "[discovery][customer]")
{
    kernel::gateway_bounds bounds;
    bounds.has_strict_revocation = true;
    bounds.configuration_apply = std::chrono::milliseconds(GENERATE(2500, 5000, 10000));
    bounds.revocation = std::chrono::milliseconds(GENERATE(1000, 3000, 5000));
    auto const rhythm = discovery::configuration_rhythm(bounds);
    auto const limit = customer::longest_contact_age(bounds);
    CHECK(rhythm.longest_age + rhythm.relay_wait + rhythm.relay_timeout <= limit * 9 / 10);
    bounds.has_strict_revocation = false;
    CHECK(discovery::configuration_rhythm(bounds).longest_age ==
          bounds.configuration_apply * 58 / 100);
}

} // namespace pistachiohub
