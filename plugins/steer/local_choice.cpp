#include "plugins/steer/local_choice.hpp"

#include "plugins/limit/slot_share.hpp"
#include "plugins/steer/load.hpp"

#include <algorithm>

namespace pistachiohub::steer
{

namespace
{

constexpr unsigned bits_per_draw = 32;

server_usage usage_of(std::span<server_usage const> usage, view::index position)
{
    // A server that was just added to the view has no usage entry yet.
    return position < usage.size() ? usage[position] : server_usage{};
}

/// @returns true if the server is live, offers the service and has not been tried.
bool is_eligible(view::backend_server const& server, request_facts const& request)
{
    if (server.service != request.service || server.state != view::member_state::live)
        return false;
    auto const& tried = request.tried_backend_servers;
    return std::find(tried.begin(), tried.end(), server.name) == tried.end();
}

bool has_free_slot(view::backend_server const& server,
                   server_usage const& usage,
                   request_facts const& request,
                   kernel::monotonic_time now)
{
    if (usage.is_exclusive || is_backing_off(usage, now))
        return false;
    if (request.is_suspect && usage.in_flight > 0)
        return false;
    return usage.in_flight < limit::usable_slots(server, now);
}

/// Calls `visit(position, server, usage)` for each eligible server with a free slot.
template<class Visitor>
void visit_free_servers(view::world_view const& world,
                        std::span<server_usage const> usage,
                        request_facts const& request,
                        kernel::monotonic_time now,
                        Visitor visit)
{
    for (view::index position = 0; position < world.backend_servers.size(); ++position)
    {
        auto const& server = world.backend_servers[position];
        auto const used = usage_of(usage, position);
        if (is_eligible(server, request) && has_free_slot(server, used, request, now))
            visit(position, server, used);
    }
}

bool has_eligible_server(view::world_view const& world, request_facts const& request)
{
    return std::any_of(world.backend_servers.begin(),
                       world.backend_servers.end(),
                       [&request](view::backend_server const& server)
                       {
                           return is_eligible(server, request);
                       });
}

std::uint64_t count_eligible_servers(view::world_view const& world, request_facts const& request)
{
    auto const count = std::count_if(world.backend_servers.begin(),
                                     world.backend_servers.end(),
                                     [&request](view::backend_server const& server)
                                     {
                                         return is_eligible(server, request);
                                     });
    return static_cast<std::uint64_t>(count);
}

/// @returns the position of the eligible server that follows `skip_count` other eligible ones.
view::index find_eligible_server(view::world_view const& world,
                                 request_facts const& request,
                                 std::uint64_t skip_count)
{
    for (view::index position = 0; position < world.backend_servers.size(); ++position)
    {
        if (!is_eligible(world.backend_servers[position], request))
            continue;
        if (skip_count == 0)
            return position;
        --skip_count;
    }
    return view::no_index;
}

} // namespace

local_choice choose_local(view::world_view const& world,
                          std::span<server_usage const> usage,
                          request_facts const& request,
                          kernel::monotonic_time now,
                          std::uint64_t random)
{
    std::uint64_t count = 0;
    visit_free_servers(world,
                       usage,
                       request,
                       now,
                       [&count](auto&&...)
                       {
                           ++count;
                       });
    if (count == 0)
        return {view::no_index, has_eligible_server(world, request)};

    // Draws two different servers. If there is only one, both draws yield it.
    auto const first = (random & 0xffffffffU) % count;
    auto const step = count > 1 ? 1 + (random >> bits_per_draw) % (count - 1) : 0;
    auto const second = (first + step) % count;
    auto const highest = highest_reported_load(world, request.service);
    local_choice choice{view::no_index, true};
    double lowest_load = 0;
    std::uint64_t next_free_index = 0;
    visit_free_servers(
        world,
        usage,
        request,
        now,
        [&](view::index position, view::backend_server const& server, server_usage used)
        {
            auto const free_index = next_free_index++;
            if (free_index != first && free_index != second)
                return;
            auto const usable = limit::usable_slots(server, now);
            auto const load = server_load(server, used, usable, highest, now);
            // On a tie the first draw wins, whichever position it has.
            bool const is_better = choice.backend_server == view::no_index || load < lowest_load ||
                                   (load == lowest_load && free_index == first);
            if (!is_better)
                return;
            choice.backend_server = position;
            lowest_load = load;
        });
    return choice;
}

local_choice
choose_round_robin(view::world_view const& world, request_facts const& request, std::uint64_t turn)
{
    auto const count = count_eligible_servers(world, request);
    if (count == 0)
        return {};
    return {find_eligible_server(world, request, turn % count), true};
}

local_choice choose_least_connections(view::world_view const& world,
                                      std::span<server_usage const> usage,
                                      request_facts const& request,
                                      std::uint64_t random)
{
    auto const size = world.backend_servers.size();
    local_choice choice;
    std::uint32_t fewest = 0;
    // The scan starts at a random server, so that the first server does not win every tie.
    for (std::size_t step = 0; step < size; ++step)
    {
        auto const position = static_cast<view::index>((random % size + step) % size);
        if (!is_eligible(world.backend_servers[position], request))
            continue;
        auto const in_flight = usage_of(usage, position).in_flight;
        if (choice.backend_server != view::no_index && in_flight >= fewest)
            continue;
        choice = {position, true};
        fewest = in_flight;
    }
    return choice;
}

} // namespace pistachiohub::steer
