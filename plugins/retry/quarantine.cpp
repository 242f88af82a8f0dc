#include "plugins/retry/quarantine.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pistachiohub::retry
{

namespace
{

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

bool record_connection_loss(quarantine& state,
                            std::uint64_t request_fingerprint,
                            std::string_view backend_server,
                            kernel::monotonic_time now,
                            std::size_t server_limit)
{
    auto& entry = find_or_add(state, request_fingerprint);
    if (!is_current(entry, now))
        entry = {};
    if (entry.is_quarantined)
        return false;
    entry.expires_at = now + quarantine_time;
    auto& servers = entry.backend_servers;
    if (std::find(servers.begin(), servers.end(), backend_server) == servers.end())
        servers.emplace_back(backend_server);
    entry.is_quarantined = servers.size() >= server_limit;
    return entry.is_quarantined;
}

std::size_t record_answered(quarantine& state, std::uint64_t request_fingerprint)
{
    auto const found = state.suspicions.find(request_fingerprint);
    if (found == state.suspicions.end() || found->second.is_quarantined)
        return 0;
    auto const cleared = found->second.backend_servers.size();
    state.suspicions.erase(found);
    return cleared;
}

std::size_t counted_servers(quarantine const& state,
                            std::uint64_t request_fingerprint,
                            kernel::monotonic_time now)
{
    auto const* const entry = find_current(state, request_fingerprint, now);
    return entry == nullptr ? 0 : entry->backend_servers.size();
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

void set_quarantined(quarantine& state,
                     std::uint64_t request_fingerprint,
                     bool is_quarantined,
                     kernel::monotonic_time expires_at)
{
    if (!is_quarantined)
    {
        state.suspicions.erase(request_fingerprint);
        return;
    }
    auto& entry = find_or_add(state, request_fingerprint);
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
