#include "plugins/discovery/feed_plan.hpp"

#include <algorithm>
#include <utility>

namespace pistachiohub::discovery
{

namespace
{

using std::chrono::milliseconds;

// Time for which a daemon that failed is not asked again.
constexpr auto relay_avoidance = milliseconds(1000);
// Time for which a daemon with a gap is not asked, so that the store is called between.
constexpr auto relay_gap_avoidance = milliseconds(50);
// The first list of hosts is read by then, unless the store is slow.
constexpr auto longest_choice_wait = milliseconds(250);
// A watch that answers at once.
constexpr auto no_wait = milliseconds(1);
// Longest wait for a change of another daemon while the store is away: after its return the store
// is called within this time.
constexpr auto longest_wait_without_store = milliseconds(250);

/// @returns how long another daemon may be waited for a change, or a negative time if the store
/// must be asked now.
milliseconds spare_time(feed_progress const& progress,
                        feed_rhythm const& rhythm,
                        relay_connection relay,
                        kernel::boot_time now)
{
    // The call that finds the history forgotten comes before the list.
    auto const store_time =
        std::min(rhythm.store_call + progress.list_time, rhythm.longest_store_time);
    auto const age = std::chrono::ceil<milliseconds>(now - progress.known_until);
    // Connecting has a timeout of its own.
    auto const timeouts = relay == relay_connection::open ? 1 : 2;
    return rhythm.answer_due - store_time - age - timeouts * rhythm.relay_timeout;
}

bool can_ask_relay(feed_progress const& progress, relay_connection relay, kernel::boot_time now)
{
    bool const is_chosen = relay == relay_connection::open || relay == relay_connection::closed;
    return is_chosen && progress.has_list && now >= progress.relay_avoided_until;
}

} // namespace

planned_read plan_read(feed_progress const& progress,
                       feed_rhythm const& rhythm,
                       relay_connection relay,
                       kernel::boot_time now)
{
    if (can_ask_relay(progress, relay, now))
    {
        auto const spare = spare_time(progress, rhythm, relay, now);
        if (spare >= milliseconds(0))
            return {read_source::relay, std::min(rhythm.relay_wait, spare), false};
    }
    bool const must_hurry = progress.must_catch_up || progress.reads_relay;
    return {read_source::store, must_hurry ? no_wait : rhythm.watch_wait, must_hurry};
}

std::optional<planned_read> plan_read_without_store(feed_progress const& progress,
                                                    feed_rhythm const& rhythm,
                                                    relay_connection relay,
                                                    kernel::boot_time now)
{
    if (!can_ask_relay(progress, relay, now))
        return std::nullopt;
    auto const wait = std::min(rhythm.relay_wait, longest_wait_without_store);
    return planned_read{read_source::relay, wait, false};
}

kernel::boot_time next_read_at(feed_progress const& progress,
                               feed_rhythm const& rhythm,
                               relay_connection relay,
                               kernel::boot_time asked_at)
{
    auto const spaced = asked_at + rhythm.spacing;
    if (relay == relay_connection::undecided)
        return std::max(spaced, asked_at + std::min(rhythm.relay_wait, longest_choice_wait));
    return relay == relay_connection::none ? spaced
                                           : std::min(spaced, progress.relay_avoided_until);
}

void note_relay_answer(feed_progress& progress, kernel::boot_time confirmed_at)
{
    progress.known_until = std::max(progress.known_until, confirmed_at);
    progress.reads_relay = true;
    progress.had_relay_gap = false;
}

void note_relay_failure(feed_progress& progress, kernel::boot_time now)
{
    progress.relay_avoided_until = now + relay_avoidance;
    progress.must_catch_up = true;
}

void note_relay_gap(feed_progress& progress, kernel::boot_time now)
{
    note_relay_failure(progress, now);
    if (!std::exchange(progress.had_relay_gap, true))
        progress.relay_avoided_until = now + relay_gap_avoidance;
}

void note_store_failure(feed_progress& progress)
{
    progress.must_catch_up = true;
}

void note_store_answer(feed_progress& progress,
                       bool is_list,
                       kernel::boot_time asked_at,
                       kernel::boot_time now)
{
    progress.known_until = std::max(progress.known_until, asked_at);
    if (is_list)
        progress.list_time = std::chrono::ceil<milliseconds>(now - asked_at);
    progress.has_list = true;
    progress.must_catch_up = false;
    progress.reads_relay = false;
}

} // namespace pistachiohub::discovery
