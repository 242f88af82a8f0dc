#include "plugins/config/acceptance.hpp"

#include <algorithm>

namespace pistachiohub::config
{

std::uint64_t held_version(held_configuration const& held)
{
    return held.document ? held.document->version : 0;
}

bool accept(held_configuration& held, held_configuration const& received)
{
    if (!received.document || !received.text)
        return false;
    if (received.document->version <= held_version(held))
        return false;
    held = received;
    return true;
}

bool should_request(request_times& times,
                    std::string_view peer,
                    std::uint64_t own_version,
                    std::uint64_t peer_version,
                    kernel::monotonic_time now)
{
    if (peer_version <= own_version)
        return false;
    bool const has_asked = times.newest != kernel::monotonic_time{};
    if (has_asked && now - times.newest < any_request_interval)
        return false;
    auto const [entry, is_new] = times.by_peer.try_emplace(std::string(peer), now);
    if (!is_new && now - entry->second < peer_request_interval)
        return false;
    entry->second = now;
    times.newest = now;
    return true;
}

} // namespace pistachiohub::config
