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

bool has_room(known_server const& server, kernel::monotonic_time now)
{
    return now >= server.avoided_until && estimated_load(server, now) + 0.5 <= server.record.slots;
}

tiers collect(server_table const& table, gateway_request const& request, kernel::monotonic_time now)
{
    tiers result;
    for (auto const& server : servers_of(table, request.service))
    {
        if (!is_usable(table, *server) || !may_run_at(request, *server) ||
            was_tried(request, *server))
            continue;
        auto& own = result[static_cast<std::size_t>(server->how_far)];
        own.servers.push_back(server);
        own.candidates.push_back({hash_text(server->record.id),
                                  static_cast<double>(server->record.slots),
                                  has_room(*server, now)});
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

// Takes the least loaded server for requests without affinity.
std::optional<std::size_t> least_loaded(tier const& among, kernel::monotonic_time now)
{
    std::optional<std::size_t> best;
    double best_load = 0;
    for (std::size_t position = 0; position < among.servers.size(); ++position)
    {
        if (!among.candidates[position].has_room)
            continue;
        auto const& server = *among.servers[position];
        auto const load = estimated_load(server, now) / server.record.slots;
        if (!best || load < best_load)
        {
            best = position;
            best_load = load;
        }
    }
    return best;
}

server_pointer choose_in(tier& among,
                         gateway_request const& request,
                         choice_input const& input,
                         std::function<bool(known_server&)> const& may_send_cold)
{
    for (;;)
    {
        auto const chosen = request.affinity_key
                                ? choose_by_affinity(*request.affinity_key, among.candidates)
                                : least_loaded(among, input.now);
        if (!chosen)
            return nullptr;
        auto const& server = among.servers[*chosen];
        if (input.now >= server->cold_until || may_send_cold(*server))
            return server;
        among.candidates[*chosen].has_room = false;
    }
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
        return {nullptr, choice_failure::no_server};
    std::array<std::size_t, distances + 1> const order{first, 0, 1, 2};
    for (auto const candidate : order)
    {
        if (found[candidate].servers.empty() || !may_try(candidate, first, input))
            continue;
        if (auto server = choose_in(found[candidate], request, input, may_send_cold))
            return {std::move(server), choice_failure::none};
    }
    return {nullptr, choice_failure::no_room};
}

} // namespace pistachiohub::gateway
