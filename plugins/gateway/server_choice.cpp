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
    return std::find(request.tried_servers.begin(),
                     request.tried_servers.end(),
                     server.record.id) != request.tried_servers.end();
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
        group.candidates.push_back({server->hash, static_cast<double>(server->record.slots)});
    }
    for (std::size_t position = 0; position < distances; ++position)
    {
        if (result[position].servers.empty())
            result[position] = std::move(avoided[position]);
    }
    return result;
}

std::size_t nearest_distance(tiers const& found)
{
    std::size_t nearest = 0;
    while (nearest < distances && found[nearest].servers.empty())
        ++nearest;
    return nearest;
}

std::size_t first_distance(tiers const& found, choice_input const& input)
{
    std::size_t wanted = 0;
    if (input.position >= input.spill.region_part)
        wanted = 2;
    else if (input.position >= input.spill.domain_part)
        wanted = 1;
    return found[wanted].servers.empty() ? nearest_distance(found) : wanted;
}

bool can_take(known_server& server,
              choice_input const& input,
              std::function<bool(known_server&)> const& may_send_cold)
{
    return has_room(server, input.now, input.queue_per_slot) && input.now >= server.avoided_until &&
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

bool may_move(distance from, distance to, choice_input const& input)
{
    if (from == to)
        return true;
    bool const changes_region = (from == distance::other_region) != (to == distance::other_region);
    return changes_region ? input.may_leave_region : input.may_leave_domain;
}

// Returns the servers of an object, the first one first. Each slot counts by its distance.
std::vector<server_pointer>
rank(tiers const& found, gateway_request const& request, spill_state const& spill)
{
    std::array<double, distances> slots{};
    for (std::size_t position = 0; position < distances; ++position)
    {
        for (auto const& server : found[position].servers)
            slots[position] += server->record.slots;
    }
    auto const weights = weights_of(spill, {slots[0], slots[1], slots[2]});
    std::array<double, distances> const weight_of{
        weights.own_region, weights.own_region, weights.other_regions};
    std::vector<server_pointer> servers;
    std::vector<affinity_candidate> candidates;
    for (std::size_t position = 0; position < distances; ++position)
    {
        if (weight_of[position] <= 0)
            continue;
        for (std::size_t member = 0; member < found[position].servers.size(); ++member)
        {
            servers.push_back(found[position].servers[member]);
            candidates.push_back(found[position].candidates[member]);
            candidates.back().weight *= weight_of[position];
        }
    }
    std::vector<server_pointer> ranked;
    for (auto const position :
         rank_by_affinity(*request.affinity_key, candidates, servers_of_object))
        ranked.push_back(servers[position]);
    return ranked;
}

choice choose_by_object(tiers const& found,
                        gateway_request const& request,
                        choice_input const& input,
                        std::function<bool(known_server&)> const& may_send_cold)
{
    auto const ranked = rank(found, request, input.spill);
    auto const& first = ranked.front();
    for (auto const& server : ranked)
    {
        if (may_move(first->how_far, server->how_far, input) &&
            can_take(*server, input, may_send_cold))
            return {server, choice_failure::none, nullptr};
    }
    return {nullptr, choice_failure::no_room, first};
}

// Takes the least loaded server, at the first distance if it has one.
choice choose_by_load(tiers const& found,
                      std::size_t first,
                      choice_input const& input,
                      std::function<bool(known_server&)> const& may_send_cold)
{
    std::array<std::size_t, distances + 1> const order{first, 0, 1, 2};
    for (auto const candidate : order)
    {
        if (found[candidate].servers.empty() ||
            !may_move(static_cast<distance>(first), static_cast<distance>(candidate), input))
            continue;
        if (auto server = least_loaded(found[candidate], input, may_send_cold))
            return {std::move(server), choice_failure::none, nullptr};
    }
    return {nullptr, choice_failure::no_room, found[first].servers.front()};
}

} // namespace

choice choose_server(server_table const& table,
                     gateway_request const& request,
                     choice_input const& input,
                     std::function<bool(known_server&)> const& may_send_cold)
{
    auto const found = collect(table, request, input.now);
    if (nearest_distance(found) == distances)
        return {nullptr, choice_failure::no_server, nullptr};
    if (!request.affinity_key)
        return choose_by_load(found, first_distance(found, input), input, may_send_cold);
    return choose_by_object(found, request, input, may_send_cold);
}

} // namespace pistachiohub::gateway
