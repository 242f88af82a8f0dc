#include "plugins/store/store_probe.hpp"

#include <algorithm>

namespace pistachiohub::store
{

namespace
{

using std::chrono::milliseconds;

constexpr auto shortest_pause = milliseconds(100);
// Changes must be in force within 4 s of the store's return: a connection that times out, this
// pause, the probe, and a call or list of each kind fit.
constexpr auto longest_probe_pause = milliseconds(1000);
// Pause of one caller whose kind alone is refused.
constexpr auto longest_caller_pause = milliseconds(500);
// Gives the turn to the caller that has not called for the longest time.
constexpr auto turn_delay = milliseconds(20);
constexpr unsigned most_doublings = 4;

kernel::boot_clock::duration pause_after(unsigned failures, milliseconds longest, double random)
{
    auto const full =
        std::min(shortest_pause * (1U << std::min(failures - 1, most_doublings)), longest);
    return std::chrono::duration_cast<kernel::boot_clock::duration>(
        std::chrono::duration<double>(full) * (0.5 + random / 2));
}

bool must_probe(probe_state const& state, probe_caller const& caller)
{
    return state.is_away && (caller.has_failed || caller.role == caller_role::writer);
}

// Callers that are not waiting for the store would only read earlier than usual if they resumed.
std::vector<std::string> end_outage(probe_state& state)
{
    std::vector<std::string> waiting;
    for (auto& [name, caller] : state.callers)
    {
        if (must_probe(state, caller))
            waiting.push_back(name);
        caller.has_failed = false;
    }
    state.is_away = false;
    state.failures = 0;
    return waiting;
}

} // namespace

kernel::boot_time call_permitted_at(probe_state const& state, std::string_view caller)
{
    auto const& own = state.callers.find(caller)->second;
    if (!must_probe(state, own))
        return own.paused_until;
    if (!state.probing.empty())
        return kernel::boot_time::max();
    auto const earlier = std::count_if(state.callers.begin(),
                                       state.callers.end(),
                                       [&state, &own](auto const& other)
                                       {
                                           return must_probe(state, other.second) &&
                                                  other.second.called_at < own.called_at;
                                       });
    return std::max(own.paused_until, state.next_probe_at + earlier * turn_delay);
}

void begin_call(probe_state& state, std::string_view caller, kernel::boot_time now)
{
    auto& own = state.callers.find(caller)->second;
    own.called_at = now;
    if (must_probe(state, own) && state.probing.empty())
        state.probing = caller;
}

std::vector<std::string> end_call(probe_state& state,
                                  std::string_view caller,
                                  bool is_answered,
                                  double random,
                                  kernel::boot_time now)
{
    auto& own = state.callers.find(caller)->second;
    bool const was_probe = state.probing == caller;
    if (was_probe)
        state.probing.clear();
    if (is_answered)
    {
        own.failures = 0;
        own.paused_until = {};
        own.has_failed = false;
        return end_outage(state);
    }
    own.has_failed = true;
    own.paused_until = now + pause_after(++own.failures, longest_caller_pause, random);
    // A call that began before the outage was noticed says nothing about its length.
    if (state.is_away && !was_probe)
        return {};
    state.is_away = true;
    state.next_probe_at = now + pause_after(++state.failures, longest_probe_pause, random);
    return {};
}

void store_probe::add(std::string_view caller, caller_role role, std::function<void()> resume)
{
    std::lock_guard const lock(m_mutex);
    m_state.callers[std::string(caller)].role = role;
    m_resume[std::string(caller)] = std::move(resume);
}

void store_probe::remove(std::string_view caller)
{
    std::lock_guard const lock(m_mutex);
    if (m_state.probing == caller)
        m_state.probing.clear();
    m_state.callers.erase(std::string(caller));
    m_resume.erase(std::string(caller));
}

bool store_probe::try_begin(std::string_view caller, kernel::boot_time now)
{
    std::lock_guard const lock(m_mutex);
    if (now < call_permitted_at(m_state, caller))
        return false;
    begin_call(m_state, caller, now);
    return true;
}

void store_probe::begin(std::string_view caller, kernel::boot_time now)
{
    std::lock_guard const lock(m_mutex);
    begin_call(m_state, caller, now);
}

void store_probe::end(std::string_view caller,
                      bool is_answered,
                      double random,
                      kernel::boot_time now)
{
    std::lock_guard const lock(m_mutex);
    for (auto const& name : end_call(m_state, caller, is_answered, random, now))
        m_resume.find(name)->second();
}

kernel::boot_time store_probe::permitted_at(std::string_view caller) const
{
    std::lock_guard const lock(m_mutex);
    return call_permitted_at(m_state, caller);
}

} // namespace pistachiohub::store
