#include "plugins/limit/slot_share.hpp"

#include "libraries/view/rendezvous.hpp"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace pistachiohub::limit
{

std::uint32_t slot_share(std::uint32_t slots,
                         std::string_view backend_server,
                         std::span<std::string_view const> entry_hosts,
                         std::string_view own_name)
{
    assert(!entry_hosts.empty());
    auto const hosts = static_cast<std::uint32_t>(entry_hosts.size());
    auto const remainder = slots % hosts;
    if (remainder == 0)
        return slots / hosts;
    auto const seed = view::rendezvous_seed(backend_server);
    auto const own_rank = std::make_tuple(view::rendezvous_weight(seed, own_name), own_name);
    auto const higher_ranked_hosts = std::count_if(
        entry_hosts.begin(),
        entry_hosts.end(),
        [&](std::string_view host)
        {
            return std::make_tuple(view::rendezvous_weight(seed, host), host) > own_rank;
        });
    return slots / hosts + (higher_ranked_hosts < static_cast<std::ptrdiff_t>(remainder) ? 1 : 0);
}

std::uint32_t usable_slots(view::backend_server const& server, kernel::monotonic_time now)
{
    if (server.state != view::member_state::live || server.slot_share == 0)
        return 0;
    // The default time marks a server that has been live since this daemon started: no slow start.
    if (server.live_since == kernel::monotonic_time{} || now - server.live_since >= slow_start_time)
        return server.slot_share;
    if (now <= server.live_since)
        return 1;
    using seconds = std::chrono::duration<double>;
    auto const elapsed_fraction = seconds(now - server.live_since) / seconds(slow_start_time);
    return 1 + static_cast<std::uint32_t>(elapsed_fraction * (server.slot_share - 1));
}

} // namespace pistachiohub::limit
