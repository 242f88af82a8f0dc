#include "plugins/gateway/server_choice.hpp"

#include "plugins/gateway/affinity.hpp"

#include <algorithm>
#include <array>

namespace pistachiohub::gateway
{

namespace
{

constexpr std::size_t distances = 3;

struct tier
{
    std::vector<server_pointer> servers;
    std::vector<affinity_candidate> candidates;
};

using tiers = std::array<tier, distances>;

bool may_run_at(gateway_request const& request, known_server const& server)
{
    auto const& homes = request.route->home_regions;
    return homes.empty() || std::find(homes.begin(), homes.end(), server.region) != homes.end();
}

bool was_tried(gateway_request const& request, known_server const& server)
{
    return std::find(request.tried.begin(), request.tried.end(), server.record.id) !=
           request.tried.end();
}

// Servers that are missing from the store since it was away may have left meanwhile.
bool has_present_server(server_table const& table, gateway_request const& request)
{
    auto const servers = servers_of(table, request.service);
    return std::any_of(servers.begin(),
                       servers.end(),
                       [&](server_pointer const& server)
                       {
                           return is_usable(table, *server) && may_run_at(request, *server) &&
                                  !server->missing_since;
                       });
}

tiers collect(server_table const& table, gateway_request const& request, kernel::monotonic_time now)
{
    tiers result;
    tiers avoided;
    bool const skips_missing = has_present_server(table, request);
    for (auto const& server : servers_of(table, request.service))
    {
        if (!is_usable(table, *server) || !may_run_at(request, *server) ||
            was_tried(request, *server) || (skips_missing && server->missing_since))
            continue;
        auto& own = result[static_cast<std::size_t>(server->how_far)];
        // Servers that failed just now are left out as long as there are others.
        auto& group =
            now >= server->avoided_until ? own : avoided[static_cast<std::size_t>(server->how_far)];
        group.servers.push_back(server);
        group.candidates.push_back(
            {hash_text(server->record.id), static_cast<double>(server->record.slots)});
    }
    for (std::size_t position = 0; position < distances; ++position)
    {
        if (result[position].servers.empty())
            result[position] = std::move(avoided[position]);
    }
    return result;
}

std::size_t first_distance(tiers const& found, choice_input const& input)
{
    std::size_t wanted = 0;
    if (input.spill != nullptr && input.position >= input.spill->region_part)
        wanted = 2;
    else if (input.spill != nullptr && input.position >= input.spill->domain_part)
        wanted = 1;
    if (!found[wanted].servers.empty())
        return wanted;
    for (std::size_t nearest = 0; nearest < distances; ++nearest)
    {
        if (!found[nearest].servers.empty())
            return nearest;
    }
    return distances;
}

bool can_take(known_server& server,
              choice_input const& input,
              std::function<bool(known_server&)> const& may_send_cold)
{
    return has_room(server, input.now) && input.now >= server.avoided_until &&
           (input.now >= server.cold_until || may_send_cold(server));
}

// Takes the least loaded server.
server_pointer least_loaded(tier const& among,
                            choice_input const& input,
                            std::function<bool(known_server&)> const& may_send_cold)
{
    auto by_load = among.servers;
    std::sort(by_load.begin(),
              by_load.end(),
              [&input](server_pointer const& left, server_pointer const& right)
              {
                  return estimated_load(*left, input.now) * right->record.slots <
                         estimated_load(*right, input.now) * left->record.slots;
              });
    for (auto const& server : by_load)
    {
        if (can_take(*server, input, may_send_cold))
            return server;
    }
    return nullptr;
}

/// What was found at one distance.
struct found_server
{
    server_pointer chosen;
    /// The first server of the object, or any for requests without one.
    server_pointer preferred;
};

found_server choose_in(tier const& among,
                       gateway_request const& request,
                       choice_input const& input,
                       std::function<bool(known_server&)> const& may_send_cold)
{
    found_server found;
    if (!request.affinity_key)
    {
        found.chosen = least_loaded(among, input, may_send_cold);
        found.preferred = found.chosen ? found.chosen : among.servers.front();
        return found;
    }
    auto const ranked =
        rank_by_affinity(*request.affinity_key, among.candidates, servers_of_object);
    found.preferred = among.servers[ranked.front()];
    for (auto const position : ranked)
    {
        if (can_take(*among.servers[position], input, may_send_cold))
        {
            found.chosen = among.servers[position];
            return found;
        }
    }
    if (input.may_leave_affinity)
        found.chosen = least_loaded(among, input, may_send_cold);
    return found;
}

bool may_try(std::size_t candidate, std::size_t first, choice_input const& input)
{
    if (candidate == first)
        return true;
    constexpr auto far = static_cast<std::size_t>(distance::other_region);
    bool const changes_region = (candidate == far) != (first == far);
    return changes_region ? input.may_leave_region : input.may_leave_domain;
}

} // namespace

choice choose_server(server_table const& table,
                     gateway_request const& request,
                     choice_input const& input,
                     std::function<bool(known_server&)> const& may_send_cold)
{
    auto found = collect(table, request, input.now);
    auto const first = first_distance(found, input);
    if (first == distances)
        return {nullptr, choice_failure::no_server, nullptr};
    choice result{nullptr, choice_failure::no_room, nullptr};
    std::array<std::size_t, distances + 1> const order{first, 0, 1, 2};
    for (auto const candidate : order)
    {
        if (found[candidate].servers.empty() || !may_try(candidate, first, input))
            continue;
        auto taken = choose_in(found[candidate], request, input, may_send_cold);
        if (!result.preferred)
            result.preferred = taken.preferred;
        if (taken.chosen)
            return {std::move(taken.chosen), choice_failure::none, nullptr};
    }
    return result;
}

} // namespace pistachiohub::gateway
