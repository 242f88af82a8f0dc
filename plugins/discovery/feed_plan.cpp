#include "plugins/discovery/feed_plan.hpp"

#include <algorithm>

namespace pistachiohub::discovery
{

namespace
{

using std::chrono::milliseconds;

// Time for which a daemon that failed is not asked again.
constexpr auto relay_avoidance = milliseconds(1000);
// A watch that answers at once.
constexpr auto no_wait = milliseconds(1);

} // namespace

planned_read plan_read(feed_progress const& progress,
                       feed_rhythm const& rhythm,
                       relay_connection relay,
                       kernel::boot_time now)
{
    if (relay != relay_connection::none && progress.has_list && now >= progress.relay_avoided_until)
        return {read_source::relay, rhythm.relay_wait, false};
    return {read_source::store,
            progress.must_catch_up ? no_wait : rhythm.watch_wait,
            progress.must_catch_up};
}

void note_relay_answer(feed_progress& progress, kernel::boot_time confirmed_at)
{
    progress.known_until = std::max(progress.known_until, confirmed_at);
    progress.reads_relay = true;
}

void note_relay_failure(feed_progress& progress, kernel::boot_time now)
{
    progress.relay_avoided_until = now + relay_avoidance;
    progress.must_catch_up = true;
}

void note_store_answer(feed_progress& progress, kernel::boot_time asked_at)
{
    progress.known_until = std::max(progress.known_until, asked_at);
    progress.has_list = true;
    progress.must_catch_up = false;
    progress.reads_relay = false;
}

} // namespace pistachiohub::discovery
