#include "plugins/retry/quarantine.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pistachiohub::retry
{

namespace
{

// Maximum number of crashes that are kept for one fingerprint; bounds the memory.
constexpr std::size_t max_counted_crashes = 64;

// Time between two crashes that are taken for simultaneous; the detection takes a round trip.
constexpr auto same_moment = std::chrono::milliseconds(100);
// Difference between the starts of two runs above the resolution of their times.
constexpr auto least_difference = std::chrono::milliseconds(20);

bool is_current(suspicion const& entry, kernel::monotonic_time now)
{
    return now < entry.expires_at;
}

suspicion const*
find_current(quarantine const& state, std::uint64_t request_fingerprint, kernel::monotonic_time now)
{
    auto const found = state.suspicions.find(request_fingerprint);
    if (found == state.suspicions.end() || !is_current(found->second, now))
        return nullptr;
    return &found->second;
}

/// Removes the oldest fingerprint that is not quarantined, or one that is if all are.
void evict_oldest(quarantine& state)
{
    for (std::size_t remaining = state.insertion_order.size(); remaining > 0; --remaining)
    {
        auto const oldest = state.insertion_order.front();
        state.insertion_order.pop_front();
        auto const found = state.suspicions.find(oldest);
        if (found == state.suspicions.end())
            continue;
        if (found->second.is_quarantined && remaining > 1)
        {
            state.insertion_order.push_back(oldest);
            continue;
        }
        state.suspicions.erase(found);
        return;
    }
}

/// Bounds the insertion order by removing entries that are no longer in `suspicions`.
void compact_insertion_order(quarantine& state)
{
    if (state.insertion_order.size() <= 2 * max_fingerprints)
        return;
    std::erase_if(state.insertion_order,
                  [&state](std::uint64_t entry)
                  {
                      return !state.suspicions.contains(entry);
                  });
}

suspicion& find_or_add(quarantine& state, std::uint64_t request_fingerprint)
{
    auto const found = state.suspicions.find(request_fingerprint);
    if (found != state.suspicions.end())
        return found->second;
    if (state.suspicions.size() >= max_fingerprints)
        evict_oldest(state);
    state.insertion_order.push_back(request_fingerprint);
    compact_insertion_order(state);
    return state.suspicions[request_fingerprint];
}

} // namespace

std::uint64_t fingerprint(std::string_view service, std::string_view body)
{
    // The hash of the service's name is the seed, so that ("ab", "c") and ("a", "bc") differ.
    return XXH64(body.data(), body.size(), XXH64(service.data(), service.size(), 0));
}

bool record_crash(quarantine& state,
                  std::uint64_t request_fingerprint,
                  counted_crash crash,
                  kernel::monotonic_time now,
                  std::size_t server_limit)
{
    auto& entry = find_or_add(state, request_fingerprint);
    if (!is_current(entry, now))
        entry = {};
    bool const is_known = std::any_of(entry.crashes.begin(),
                                      entry.crashes.end(),
                                      [&crash](counted_crash const& known)
                                      {
                                          return known.backend_server == crash.backend_server;
                                      });
    if (!is_known)
    {
        entry.answers_count_from = std::max(entry.answers_count_from, crash.answers_count_from);
        entry.trial.answers = 0;
        entry.trial.unresolved = 0;
        if (entry.crashes.size() < max_counted_crashes)
            entry.crashes.push_back(std::move(crash));
    }
    if (entry.is_quarantined)
        return false;
    entry.expires_at = now + quarantine_time;
    if (entry.crashes.size() < server_limit)
        return false;
    entry.is_quarantined = true;
    entry.quarantined_at = now;
    return true;
}

bool record_connection_loss(quarantine& state,
                            std::uint64_t request_fingerprint,
                            std::string_view backend_server,
                            kernel::monotonic_time now,
                            std::size_t server_limit)
{
    return record_crash(state,
                        request_fingerprint,
                        {std::string(backend_server), now, now, now},
                        now,
                        server_limit);
}

answer_effect record_answered(quarantine& state,
                              std::uint64_t request_fingerprint,
                              kernel::monotonic_time began_at)
{
    auto const found = state.suspicions.find(request_fingerprint);
    if (found == state.suspicions.end() || began_at < found->second.answers_count_from)
        return {};
    auto& entry = found->second;
    if (entry.is_quarantined)
    {
        ++entry.trial.answers;
        if (entry.trial.answers < answers_to_release)
            return {};
    }
    answer_effect const effect{entry.crashes.size(), entry.is_quarantined};
    state.suspicions.erase(found);
    return effect;
}

std::size_t counted_servers(quarantine const& state,
                            std::uint64_t request_fingerprint,
                            kernel::monotonic_time now)
{
    auto const* const entry = find_current(state, request_fingerprint, now);
    return entry == nullptr ? 0 : entry->crashes.size();
}

suspicion const* find_suspicion(quarantine const& state,
                                std::uint64_t request_fingerprint,
                                kernel::monotonic_time now)
{
    return find_current(state, request_fingerprint, now);
}

bool is_quarantined(quarantine const& state,
                    std::uint64_t request_fingerprint,
                    kernel::monotonic_time now)
{
    auto const* const entry = find_current(state, request_fingerprint, now);
    return entry != nullptr && entry->is_quarantined;
}

bool is_suspect(quarantine const& state,
                std::uint64_t request_fingerprint,
                kernel::monotonic_time now)
{
    return find_current(state, request_fingerprint, now) != nullptr;
}

bool have_common_cause(counted_crash const& left, counted_crash const& right)
{
    auto const between_crashes = std::chrono::abs(left.crashed_at - right.crashed_at);
    auto const between_starts = std::chrono::abs(left.began_at - right.began_at);
    return between_crashes <= same_moment && between_starts >= least_difference &&
           2 * between_crashes < between_starts;
}

std::size_t independent_crashes(suspicion const& entry)
{
    std::size_t count = 0;
    for (auto crash = entry.crashes.begin(); crash != entry.crashes.end(); ++crash)
    {
        bool const is_counted = std::any_of(entry.crashes.begin(),
                                            crash,
                                            [&crash](counted_crash const& earlier)
                                            {
                                                return have_common_cause(earlier, *crash);
                                            });
        count += is_counted ? 0 : 1;
    }
    return count;
}

void open_trial(quarantine& state,
                std::uint64_t request_fingerprint,
                kernel::monotonic_time opens_at)
{
    if (auto const found = state.suspicions.find(request_fingerprint);
        found != state.suspicions.end())
        found->second.trial.opens_at = opens_at;
}

bool may_start_trial_run(quarantine const& state,
                         std::uint64_t request_fingerprint,
                         kernel::monotonic_time now)
{
    auto const* const entry = find_current(state, request_fingerprint, now);
    if (entry == nullptr || !entry->is_quarantined)
        return false;
    auto const& trial = entry->trial;
    return now >= trial.opens_at && trial.running < std::min(1 + trial.answers, max_trial_runs) &&
           trial.unresolved <= trial.answers;
}

void begin_trial_run(quarantine& state, std::uint64_t request_fingerprint)
{
    if (auto const found = state.suspicions.find(request_fingerprint);
        found != state.suspicions.end())
        ++found->second.trial.running;
}

void end_trial_run(quarantine& state, std::uint64_t request_fingerprint, bool is_unresolved)
{
    auto const found = state.suspicions.find(request_fingerprint);
    if (found == state.suspicions.end())
        return;
    auto& trial = found->second.trial;
    // The quarantine may have been released and begun again since the run started.
    trial.running -= std::min<std::size_t>(trial.running, 1);
    if (is_unresolved)
        ++trial.unresolved;
}

void restart_trial(quarantine& state, std::uint64_t request_fingerprint, kernel::monotonic_time now)
{
    auto const found = state.suspicions.find(request_fingerprint);
    if (found == state.suspicions.end())
        return;
    found->second.trial = {};
    found->second.quarantined_at = now;
}

void set_quarantined(quarantine& state,
                     std::uint64_t request_fingerprint,
                     bool is_quarantined,
                     kernel::monotonic_time now,
                     kernel::monotonic_time expires_at)
{
    if (!is_quarantined)
    {
        state.suspicions.erase(request_fingerprint);
        return;
    }
    auto& entry = find_or_add(state, request_fingerprint);
    if (!is_current(entry, now))
        entry = {};
    if (!entry.is_quarantined)
    {
        // Runs in progress may have begun before the crashes.
        entry.quarantined_at = now;
        entry.answers_count_from = now;
    }
    entry.is_quarantined = true;
    entry.expires_at = std::max(entry.expires_at, expires_at);
}

void expire(quarantine& state, kernel::monotonic_time now)
{
    std::erase_if(state.suspicions,
                  [now](auto const& entry)
                  {
                      return !is_current(entry.second, now);
                  });
}

} // namespace pistachiohub::retry
