#include "plugins/steer/load.hpp"

#include <algorithm>

namespace pistachiohub::steer
{

namespace
{

constexpr std::uint32_t max_doublings = 5;
using seconds = std::chrono::duration<double>;

} // namespace

double report_weight(kernel::monotonic_time reported_at, kernel::monotonic_time now)
{
    auto const age = now - reported_at;
    if (age <= full_weight_time)
        return 1;
    auto const decayed = seconds(age - full_weight_time) / seconds(weight_decay_time);
    return std::max(1 - decayed, 0.0);
}

bool is_backing_off(server_usage const& usage, kernel::monotonic_time now)
{
    if (usage.refusals == 0)
        return false;
    auto const doublings = std::min(usage.refusals - 1, max_doublings);
    auto const backoff = std::min(initial_backoff * (1U << doublings), max_backoff);
    return now < usage.last_refusal + backoff;
}

double highest_reported_load(view::world_view const& world, view::index service)
{
    double highest = 0;
    for (auto const& server : world.backend_servers)
    {
        if (server.service == service && server.state == view::member_state::live)
            highest = std::max(highest, server.reported_load);
    }
    return highest;
}

double server_load(view::backend_server const& server,
                   server_usage const& usage,
                   std::uint32_t usable_slots,
                   double highest_load,
                   kernel::monotonic_time now)
{
    auto const own_load = static_cast<double>(usage.in_flight) / std::max(usable_slots, 1U);
    bool const has_report = server.reported_load >= 0;
    auto const weight = has_report ? report_weight(server.reported_at, now) : 0;
    return own_load + weight * server.reported_load + (1 - weight) * highest_load;
}

} // namespace pistachiohub::steer
