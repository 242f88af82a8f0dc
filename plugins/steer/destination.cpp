#include "plugins/steer/destination.hpp"

#include "plugins/limit/slot_share.hpp"
#include "plugins/steer/local_choice.hpp"
#include "plugins/steer/remote_choice.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiohub::steer
{

namespace
{

using configuration::steering_mode;

destination make_server_destination(view::index backend_server)
{
    return {destination_kind::backend_server, backend_server, view::no_index, reason::ok};
}

destination make_empty_destination(destination_kind kind, reason cause)
{
    return {kind, view::no_index, view::no_index, cause};
}

destination choose_capped(view::world_view const& world,
                          std::span<server_usage const> usage,
                          std::span<credit_usage const> credits_in_use,
                          request_facts const& request,
                          kernel::monotonic_time now,
                          std::uint64_t random)
{
    auto const local = choose_local(world, usage, request, now, random);
    if (local.backend_server != view::no_index)
        return make_server_destination(local.backend_server);
    // The daemon that relayed a foreign request can choose another destination, so the request is
    // refused instead of queued.
    if (request.is_foreign)
        return make_empty_destination(destination_kind::refuse, reason::destination_refused);
    auto const remote = choose_remote(world, credits_in_use, request, now, random);
    if (remote.entry_host == view::no_index && local.may_wait)
        return make_empty_destination(destination_kind::wait, reason::queue_deadline);
    return remote;
}

destination choose_baseline(view::world_view const& world,
                            std::span<server_usage const> usage,
                            request_facts const& request,
                            steering_mode mode,
                            std::uint64_t random)
{
    auto const local = mode == steering_mode::round_robin
                           ? choose_round_robin(world, request, random)
                           : choose_least_connections(world, usage, request, random);
    if (local.backend_server != view::no_index)
        return make_server_destination(local.backend_server);
    if (request.is_foreign)
        return make_empty_destination(destination_kind::refuse, reason::destination_refused);
    return choose_remote_round_robin(world, request, random);
}

} // namespace

destination choose(view::world_view const& world,
                   std::span<server_usage const> usage,
                   std::span<credit_usage const> credits_in_use,
                   request_facts const& request,
                   kernel::monotonic_time now,
                   std::uint64_t random)
{
    if (!world.configuration || request.service >= world.configuration->services.size())
        return make_empty_destination(destination_kind::refuse, reason::unknown_service);
    auto const mode = world.configuration->services[request.service].steering_policy.steering;
    if (mode == steering_mode::capped)
        return choose_capped(world, usage, credits_in_use, request, now, random);
    return choose_baseline(world, usage, request, mode, random);
}

std::vector<std::uint32_t> spare_foreign_slots(view::world_view const& world,
                                               std::span<server_usage const> usage,
                                               kernel::monotonic_time now)
{
    if (!world.configuration)
        return {};
    auto const& services = world.configuration->services;
    std::vector<std::uint32_t> usable(services.size());
    std::vector<std::uint32_t> free_slots(services.size());
    for (view::index position = 0; position < world.backend_servers.size(); ++position)
    {
        auto const& server = world.backend_servers[position];
        if (server.service >= services.size())
            continue;
        auto const slots = limit::usable_slots(server, now);
        auto const used = position < usage.size() ? usage[position] : server_usage{};
        usable[server.service] += slots;
        if (!used.is_exclusive)
            free_slots[server.service] += slots - std::min(slots, used.in_flight);
    }
    for (std::size_t service = 0; service < services.size(); ++service)
    {
        auto const reserved =
            std::ceil(services[service].steering_policy.headroom * usable[service]);
        free_slots[service] -= std::min(free_slots[service], static_cast<std::uint32_t>(reserved));
    }
    return free_slots;
}

} // namespace pistachiohub::steer
