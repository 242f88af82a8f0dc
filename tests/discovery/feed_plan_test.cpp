#include "plugins/discovery/feed_plan.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

// Guards against a host that the store alone refuses, and that no longer asks its reader because
// what it knows is old.
TEST_CASE("feed_plan_without_store_asks_the_relay_at_any_age", "[discovery]")
{
    auto const rhythm = discovery::server_rhythm({});
    discovery::feed_progress progress;
    kernel::boot_time const now{std::chrono::hours(1)};
    auto const open = discovery::relay_connection::open;
    CHECK_FALSE(plan_read_without_store(progress, rhythm, open, now));
    progress.has_list = true;
    REQUIRE(plan_read_without_store(progress, rhythm, open, now));
    CHECK(plan_read(progress, rhythm, open, now).source == discovery::read_source::store);
    CHECK(plan_read_without_store(progress, rhythm, open, now)->source ==
          discovery::read_source::relay);
    note_relay_failure(progress, now);
    CHECK_FALSE(plan_read_without_store(progress, rhythm, open, now));
}

// Guards against calls of the store by a daemon that starts and will read through another one.
TEST_CASE("feed_plan_undecided_relay_delays_the_first_watch", "[discovery]")
{
    using discovery::relay_connection;
    auto const rhythm = discovery::configuration_rhythm({});
    discovery::feed_progress progress;
    kernel::boot_time const now{std::chrono::hours(1)};
    note_store_answer(progress, true, now, now);
    auto const undecided = next_read_at(progress, rhythm, relay_connection::undecided, now);
    CHECK(undecided - now >= std::chrono::milliseconds(200));
    // The pause counts from the begin of a call, so a watch that waits longer is not delayed.
    CHECK(undecided - now <= rhythm.watch_wait);
    CHECK(next_read_at(progress, rhythm, relay_connection::closed, now) <= now);
    CHECK(plan_read(progress, rhythm, relay_connection::undecided, now).source ==
          discovery::read_source::store);
}

// Guards against a follower that reads the store for a second because its reader started later, and
// against one that asks without end a reader which knows another generation of the store.
TEST_CASE("feed_plan_gap_of_the_relay_delays_only_repeated_questions", "[discovery]")
{
    discovery::feed_progress progress;
    kernel::boot_time const now{std::chrono::hours(1)};
    note_relay_gap(progress, now);
    CHECK(progress.must_catch_up);
    CHECK(progress.relay_avoided_until - now < std::chrono::milliseconds(100));
    note_relay_gap(progress, now);
    CHECK(progress.relay_avoided_until - now >= std::chrono::milliseconds(1000));
    note_relay_answer(progress, now);
    note_relay_gap(progress, now);
    CHECK(progress.relay_avoided_until - now < std::chrono::milliseconds(100));
}

} // namespace pistachiohub
