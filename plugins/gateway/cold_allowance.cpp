#include "plugins/gateway/cold_allowance.hpp"

#include "plugins/gateway/affinity.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiohub::gateway
{

double cold_share(double most, std::size_t own_position, std::size_t daemons)
{
    auto const usable = std::floor(most * used_part_of_cold_rate);
    auto const each = std::floor(usable / static_cast<double>(std::max<std::size_t>(daemons, 1)));
    auto const rest = usable - each * static_cast<double>(daemons);
    return each + (static_cast<double>(own_position) < rest ? 1 : 0);
}

std::size_t cold_position(std::string const& server_id,
                          std::string const& own,
                          std::span<std::string const> hosts)
{
    auto const key = hash_text(server_id);
    auto const score_of = [key](std::string const& host)
    {
        return affinity_score(key, {hash_text(host), 1});
    };
    auto const own_score = score_of(own);
    return static_cast<std::size_t>(std::count_if(hosts.begin(),
                                                  hosts.end(),
                                                  [&](std::string const& host)
                                                  {
                                                      return host != own &&
                                                             score_of(host) > own_score;
                                                  }));
}

bool try_send_cold(known_server& server, double share, kernel::monotonic_time now)
{
    // Any sliding second touches two seconds of the clock, so the last request of a share of one
    // also bars the following second.
    auto const second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    auto const kept = second - server.cold_second;
    if (kept > 1 || (kept == 1 && share >= 2))
    {
        server.cold_second = second;
        server.cold_sent = 0;
    }
    auto const most = share >= 2 ? std::floor(share / 2) : share;
    if (server.cold_sent + 1 > most)
        return false;
    ++server.cold_sent;
    return true;
}

} // namespace pistachiohub::gateway
