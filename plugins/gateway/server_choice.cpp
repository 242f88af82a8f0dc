#include "plugins/gateway/server_choice.hpp"

#include "plugins/gateway/affinity.hpp"
#include "plugins/memory/server_bytes.hpp"

#include <algorithm>
#include <array>

namespace pistachiohub::gateway
{

namespace
{

constexpr std::size_t distance_count = 3;

// Servers at one distance, with their entries for rendezvous hashing at the same indices.
struct tier
{
    std::vector<server_pointer> servers;
    std::vector<affinity_candidate> candidates;
};

using tiers = std::array<tier, distance_count>;

// Returns whether the home regions of the route permit the server.
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

// Returns whether any server that may run the request is listed in the store. Servers that are
// missing since an outage of the store may have stopped meanwhile.
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

// Returns the servers that the request may be sent to next, by their distance.
tiers collect_candidates(server_table const& table,
                         gateway_request const& request,
                         kernel::monotonic_time now)
{
    tiers result;
    tiers avoided;
    bool const skips_missing = has_present_server(table, request);
    for (auto const& server : servers_of(table, request.service))
    {
        if (!is_usable(table, *server) || !may_run_at(request, *server) ||
            was_tried(request, *server) || (skips_missing && server->missing_since))
            continue;
        auto& available = result[static_cast<std::size_t>(server->proximity)];
        // Servers that failed recently, or have got what they take, are left out as long as there
        // are others at the same distance.
        auto& target = is_open(*server, now) ? available
                                             : avoided[static_cast<std::size_t>(server->proximity)];
        target.servers.push_back(server);
        target.candidates.push_back({server->hash, static_cast<double>(server->record.slots)});
    }
    for (std::size_t index = 0; index < distance_count; ++index)
    {
        if (result[index].servers.empty())
            result[index] = std::move(avoided[index]);
    }
    return result;
}

// Returns the nearest distance with servers, `distance_count` if there are none.
std::size_t nearest_distance(tiers const& eligible)
{
    std::size_t nearest = 0;
    while (nearest < distance_count && eligible[nearest].servers.empty())
        ++nearest;
    return nearest;
}

// Returns the distance at which a request without an affinity key is placed first.
std::size_t first_distance(tiers const& eligible, choice_input const& input)
{
    std::size_t selected = 0;
    if (input.sample >= input.spill.region_fraction)
        selected = 2;
    else if (input.sample >= input.spill.domain_fraction)
        selected = 1;
    return eligible[selected].servers.empty() ? nearest_distance(eligible) : selected;
}

bool can_accept(known_server& server,
                choice_input const& input,
                std::function<bool(known_server&)> const& admit_cold_request)
{
    return has_capacity(server, input.now, input.queue_per_slot) && is_open(server, input.now) &&
           memory::has_room(server.upload_bytes, input.request_bytes, memory::max_upload_bytes) &&
           (input.now >= server.cold_until || admit_cold_request(server));
}

// Returns the least loaded server with room, or null.
server_pointer least_loaded(tier const& at_distance,
                            choice_input const& input,
                            std::function<bool(known_server&)> const& admit_cold_request)
{
    auto by_load = at_distance.servers;
    std::sort(by_load.begin(),
              by_load.end(),
              [&input](server_pointer const& left, server_pointer const& right)
              {
                  return estimated_load(*left, input.now) * right->record.slots <
                         estimated_load(*right, input.now) * left->record.slots;
              });
    for (auto const& server : by_load)
    {
        if (can_accept(*server, input, admit_cold_request))
            return server;
    }
    return nullptr;
}

// Returns whether a request placed at the distance `from` may be sent to a server at `to`.
bool is_permitted_distance(distance from, distance to, choice_input const& input)
{
    if (from == to)
        return true;
    bool const changes_region = (from == distance::other_region) != (to == distance::other_region);
    return changes_region ? input.may_leave_region : input.may_leave_domain;
}

// Returns the servers of an object in descending order of preference. The weight of a server is the
// number of its slots times the weight of a slot at its distance.
std::vector<server_pointer> rank_servers_of_object(tiers const& eligible,
                                                   gateway_request const& request,
                                                   spill_state const& spill,
                                                   std::size_t count)
{
    std::array<double, distance_count> slots{};
    for (std::size_t index = 0; index < distance_count; ++index)
    {
        for (auto const& server : eligible[index].servers)
            slots[index] += server->record.slots;
    }
    auto const weights = weights_of(spill, {slots[0], slots[1], slots[2]});
    std::array<double, distance_count> const weight_of{
        weights.own_region, weights.own_region, weights.other_regions};
    std::vector<server_pointer> servers;
    std::vector<affinity_candidate> candidates;
    for (std::size_t index = 0; index < distance_count; ++index)
    {
        if (weight_of[index] <= 0)
            continue;
        for (std::size_t member = 0; member < eligible[index].servers.size(); ++member)
        {
            servers.push_back(eligible[index].servers[member]);
            candidates.push_back(eligible[index].candidates[member]);
            candidates.back().weight *= weight_of[index];
        }
    }
    std::vector<server_pointer> ranked;
    for (auto const index : rank_by_affinity(*request.affinity_key, candidates, count))
        ranked.push_back(servers[index]);
    return ranked;
}

server_choice choose_by_object(tiers const& eligible,
                               gateway_request const& request,
                               choice_input const& input,
                               std::function<bool(known_server&)> const& admit_cold_request)
{
    auto const ranked =
        rank_servers_of_object(eligible, request, input.spill, input.servers_per_object);
    auto const& first = ranked.front();
    for (auto const& server : ranked)
    {
        if (is_permitted_distance(first->proximity, server->proximity, input) &&
            can_accept(*server, input, admit_cold_request))
            return {server, choice_failure::none, nullptr};
    }
    return {nullptr, choice_failure::no_room, first};
}

// Chooses the least loaded server at the distance `first`, or at the nearest permitted distance
// with room.
server_choice choose_by_load(tiers const& eligible,
                             std::size_t first,
                             choice_input const& input,
                             std::function<bool(known_server&)> const& admit_cold_request)
{
    std::array<std::size_t, distance_count + 1> const order{first, 0, 1, 2};
    for (auto const candidate : order)
    {
        if (eligible[candidate].servers.empty() ||
            !is_permitted_distance(
                static_cast<distance>(first), static_cast<distance>(candidate), input))
            continue;
        if (auto server = least_loaded(eligible[candidate], input, admit_cold_request))
            return {std::move(server), choice_failure::none, nullptr};
    }
    return {nullptr, choice_failure::no_room, eligible[first].servers.front()};
}

} // namespace

server_choice choose_server(server_table const& table,
                            gateway_request const& request,
                            choice_input const& input,
                            std::function<bool(known_server&)> const& admit_cold_request)
{
    auto const eligible = collect_candidates(table, request, input.now);
    if (nearest_distance(eligible) == distance_count)
        return {nullptr, choice_failure::no_server, nullptr};
    if (!request.affinity_key)
        return choose_by_load(eligible, first_distance(eligible, input), input, admit_cold_request);
    return choose_by_object(eligible, request, input, admit_cold_request);
}

} // namespace pistachiohub::gateway
