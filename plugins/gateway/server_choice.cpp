#include "plugins/gateway/server_choice.hpp"

#include "plugins/gateway/affinity.hpp"
#include "plugins/memory/server_bytes.hpp"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

namespace pistachiohub::gateway
{

namespace
{

constexpr std::size_t distance_count = 3;

// Servers at one distance, as pointers into the table. Each request lists all servers of its
// service, and copies of shared pointers took most of the time of a choice.
using tier = std::vector<server_pointer const*>;
using tiers = std::array<tier, distance_count>;

bool permits(std::vector<std::string> const& homes, std::string const& region)
{
    return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
}

// Returns whether the home regions of the route and of the customer permit the server.
bool may_run_at(gateway_request const& request, known_server const& server)
{
    return permits(request.route->home_regions, server.region) &&
           (request.customer == nullptr || permits(request.customer->home_regions, server.region));
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
        target.push_back(&server);
    }
    for (std::size_t index = 0; index < distance_count; ++index)
    {
        if (result[index].empty())
            result[index] = std::move(avoided[index]);
    }
    return result;
}

// Returns the nearest distance with servers, `distance_count` if there are none.
std::size_t nearest_distance(tiers const& eligible)
{
    std::size_t nearest = 0;
    while (nearest < distance_count && eligible[nearest].empty())
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
    return eligible[selected].empty() ? nearest_distance(eligible) : selected;
}

bool can_accept(known_server& server,
                choice_input const& input,
                double queue_per_slot,
                std::function<bool(known_server&)> const& admit_cold_request)
{
    return has_capacity(server, input.now, queue_per_slot) && is_open(server, input.now) &&
           memory::has_room(server.upload_bytes, input.request_bytes, memory::max_upload_bytes) &&
           (input.now >= server.cold_until || admit_cold_request(server));
}

// Returns the expected finish of a request at the server, with an addition for the slots in use:
// what is known of a server is a few tenths of a second old, and the fuller it was, the likelier it
// is that it has no free slot any more.
double finish_with_contention(known_server const& server, choice_input const& input)
{
    // Without a known run, the servers are compared as if all runs took the same time.
    auto const run = input.run_seconds > 0 ? input.run_seconds : 1;
    auto const expected = expected_finish(server, run, 0, input.now);
    auto const slots = std::max<double>(server.record.slots, 1);
    auto const in_use = std::min(estimated_load(server, input.now) + 1, slots) / slots;
    return expected.finish + (expected.finish - expected.start) * in_use;
}

// Orders servers by the expected finish of a request.
void sort_by_finish(std::span<server_pointer const*> servers, choice_input const& input)
{
    std::vector<std::pair<double, server_pointer const*>> by_finish;
    by_finish.reserve(servers.size());
    for (auto const* const server : servers)
        by_finish.emplace_back(finish_with_contention(**server, input), server);
    std::stable_sort(by_finish.begin(),
                     by_finish.end(),
                     [](auto const& left, auto const& right)
                     {
                         return left.first < right.first;
                     });
    for (std::size_t position = 0; position < servers.size(); ++position)
        servers[position] = by_finish[position].second;
}

// Returns the server at which a further waiting request is expected to start first.
server_pointer earliest_start(tier const& at_distance, choice_input const& input)
{
    auto const start_at = [&input](known_server const& server)
    {
        return expected_finish(
                   server, std::max(input.run_seconds, 0.001), server.own_queued, input.now)
            .start;
    };
    return **std::min_element(at_distance.begin(),
                              at_distance.end(),
                              [&](server_pointer const* left, server_pointer const* right)
                              {
                                  return start_at(**left) < start_at(**right);
                              });
}

// Returns the server with room where the request is expected to finish first, or null.
server_pointer least_loaded(tier const& at_distance,
                            choice_input const& input,
                            std::function<bool(known_server&)> const& admit_cold_request)
{
    auto by_load = at_distance;
    sort_by_finish(by_load, input);
    for (auto const* const server : by_load)
    {
        if (can_accept(**server, input, input.queue_per_slot, admit_cold_request))
            return *server;
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
                                                   choice_input const& input)
{
    std::array<double, distance_count> slots{};
    for (std::size_t index = 0; index < distance_count; ++index)
    {
        for (auto const* const server : eligible[index])
            slots[index] += (*server)->record.slots;
    }
    auto const weights = weights_of(input.spill, {slots[0], slots[1], slots[2]});
    std::array<double, distance_count> const weight_of{
        weights.own_region, weights.own_region, weights.other_regions};
    auto const count = eligible[0].size() + eligible[1].size() + eligible[2].size();
    tier servers;
    std::vector<affinity_candidate> candidates;
    servers.reserve(count);
    candidates.reserve(count);
    for (std::size_t index = 0; index < distance_count; ++index)
    {
        if (weight_of[index] <= 0)
            continue;
        for (auto const* const server : eligible[index])
        {
            auto const factor = input.is_stable ? (*server)->weight.factor : 1;
            servers.push_back(server);
            candidates.push_back(
                {(*server)->hash, (*server)->record.slots * weight_of[index] * factor});
        }
    }
    std::vector<server_pointer> ranked;
    for (auto const index :
         rank_by_affinity(*request.affinity_key, candidates, input.servers_per_object))
        ranked.push_back(*servers[index]);
    return ranked;
}

// Returns the requests that may wait for each slot of a server of the object. With stable placement
// the second server takes what the first has no room for only in a free slot: a queue of cold runs
// there would displace its own objects to their second servers in turn.
double
queue_of_ranked(known_server const& first, known_server const& server, choice_input const& input)
{
    // A cold first server refuses most requests whatever its queue.
    if (!input.is_stable || input.now < first.cold_until)
        return input.queue_per_slot;
    if (&server != &first)
        return input.is_last_resort ? input.queue_per_slot : 0;
    return std::max(input.queue_per_slot,
                    std::min(first_server_queue_factor * input.queue_per_slot,
                             max_first_server_queue_per_slot));
}

server_choice choose_by_object(tiers const& eligible,
                               gateway_request const& request,
                               choice_input const& input,
                               std::function<bool(known_server&)> const& admit_cold_request)
{
    auto const ranked = rank_servers_of_object(eligible, request, input);
    auto const& first = ranked.front();
    for (auto const& server : ranked)
    {
        if (is_permitted_distance(first->proximity, server->proximity, input) &&
            can_accept(*server, input, queue_of_ranked(*first, *server, input), admit_cold_request))
            return {server, choice_failure::none, nullptr, first};
    }
    return {nullptr, choice_failure::no_room, first, first};
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
        if (eligible[candidate].empty() || !is_permitted_distance(static_cast<distance>(first),
                                                                  static_cast<distance>(candidate),
                                                                  input))
            continue;
        if (auto server = least_loaded(eligible[candidate], input, admit_cold_request))
            return {std::move(server), choice_failure::none, nullptr, nullptr};
    }
    return {nullptr, choice_failure::no_room, earliest_start(eligible[first], input), nullptr};
}

} // namespace

server_choice choose_server(server_table const& table,
                            gateway_request const& request,
                            choice_input const& input,
                            std::function<bool(known_server&)> const& admit_cold_request)
{
    auto const eligible = collect_candidates(table, request, input.now);
    if (nearest_distance(eligible) == distance_count)
        return {nullptr, choice_failure::no_server, nullptr, nullptr};
    if (!request.affinity_key)
        return choose_by_load(eligible, first_distance(eligible, input), input, admit_cold_request);
    return choose_by_object(eligible, request, input, admit_cold_request);
}

} // namespace pistachiohub::gateway
