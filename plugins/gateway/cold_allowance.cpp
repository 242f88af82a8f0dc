#include "plugins/gateway/cold_allowance.hpp"

#include "plugins/gateway/affinity.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiohub::gateway
{

double cold_request_share(double max_requests, std::size_t own_rank, std::size_t daemon_count)
{
    auto const usable_requests = std::floor(max_requests * cold_rate_safety_factor);
    auto const base_share =
        std::floor(usable_requests / static_cast<double>(std::max<std::size_t>(daemon_count, 1)));
    auto const remainder = usable_requests - base_share * static_cast<double>(daemon_count);
    return base_share + (static_cast<double>(own_rank) < remainder ? 1 : 0);
}

std::size_t daemon_rank_for_server(std::string const& server_id,
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

bool try_admit_cold_request(known_server& server, double share, kernel::monotonic_time now)
{
    // A sliding second overlaps two seconds of the clock. A share below two cannot be halved, so
    // its request also counts for the following second of the clock.
    auto const current_second =
        std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    auto const elapsed_seconds = current_second - server.cold_second;
    if (elapsed_seconds > 1 || (elapsed_seconds == 1 && share >= 2))
    {
        server.cold_second = current_second;
        server.cold_sent = 0;
    }
    auto const max_requests = share >= 2 ? std::floor(share / 2) : share;
    if (server.cold_sent + 1 > max_requests)
        return false;
    ++server.cold_sent;
    return true;
}

} // namespace pistachiohub::gateway
