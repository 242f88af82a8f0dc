#include "plugins/forward/drain.hpp"

#include "plugins/forward/step.hpp"

#include <algorithm>

namespace pistachiohub::forward
{

namespace
{

kernel::duration longest_time_to_live(step const& current)
{
    std::uint32_t longest = 0;
    for (auto const& service : current.world.configuration->services)
        longest = std::max(longest, service.ttl_ms);
    return std::chrono::milliseconds(longest);
}

/// @returns true if no request is open, no relayed attempt runs, no caller waits for the answer of
/// another daemon and no timer is set. A timer is set for every request whose outcome may still
/// become known.
bool is_idle(coordinator const& state)
{
    return state.requests.timers.empty() && state.requests.open_requests == 0 &&
           state.relays.open_runs == 0 && is_empty(state.forwards);
}

} // namespace

bool refuses_new_requests(step const& current)
{
    auto const phase = current.state.drain.phase;
    return phase == drain_phase::refusing || phase == drain_phase::flushing;
}

bool is_flushing_settlement(step const& current)
{
    return current.state.drain.phase == drain_phase::flushing;
}

void advance_drain(step& current)
{
    auto& drain = current.state.drain;
    if (drain.phase == drain_phase::serving && current.world.is_draining)
    {
        drain.phase = drain_phase::accepting;
        drain.accepts_until = current.now + longest_time_to_live(current);
    }
    if (drain.phase == drain_phase::accepting && drain.accepts_until <= current.now)
        drain.phase = drain_phase::refusing;
    if (drain.phase == drain_phase::refusing && is_idle(current.state))
    {
        drain.phase = drain_phase::flushing;
        add_log_entry(current, kernel::log_level::info, "drain_idle", {});
        emit(current, events::store_command{events::flush_settlement{}});
    }
}

} // namespace pistachiohub::forward
