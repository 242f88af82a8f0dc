#include "plugins/steer/remote_choice.hpp"

#include <algorithm>
#include <string_view>

namespace pistachiohub::steer
{

namespace
{

using configuration::policy;

/// What all steps of one choice share.
struct search
{
    view::world_view const& world;
    std::span<credit_usage const> credits_in_use;
    request_facts const& request;
    kernel::monotonic_time now;
    std::string_view own_region;
};

std::string_view region_of(view::world_view const& world, view::index failure_domain)
{
    auto const& domains = world.configuration->failure_domains;
    if (failure_domain >= domains.size())
        return {};
    return domains[failure_domain].region;
}

bool is_eligible(search const& state, view::entry_host const& host)
{
    if (host.state != view::member_state::live || host.name == state.world.own_name)
        return false;
    if (host.failure_domain == state.world.own_failure_domain)
        return false;
    auto const& tried = state.request.tried_entry_hosts;
    return std::find(tried.begin(), tried.end(), host.name) == tried.end();
}

bool is_in_region(search const& state, view::entry_host const& host, std::string_view region)
{
    return region_of(state.world, host.failure_domain) == region;
}

bool is_allowed(policy const& rules, std::string_view region)
{
    if (rules.regions.empty())
        return true;
    return std::find(rules.regions.begin(), rules.regions.end(), region) != rules.regions.end();
}

std::uint32_t free_credits(search const& state, view::entry_host const& host)
{
    std::uint32_t offered = 0;
    for (auto const& offer : host.credits)
    {
        if (offer.service == state.request.service && state.now < offer.expires_at)
            offered = std::max(offered, offer.slots);
    }
    if (offered == 0)
        return 0;
    std::uint32_t used = 0;
    for (auto const& usage : state.credits_in_use)
    {
        if (usage.service == state.request.service && usage.entry_host == host.name)
            used += usage.in_flight;
    }
    return offered > used ? offered - used : 0;
}

/// Draws a host among those that `is_wanted` accepts, weighted by free credits.
template<class Filter>
view::index draw_by_credits(search const& state, std::uint64_t random, Filter is_wanted)
{
    auto const& hosts = state.world.entry_hosts;
    auto const weight = [&](view::entry_host const& host) -> std::uint64_t
    {
        return is_eligible(state, host) && is_wanted(host) ? free_credits(state, host) : 0;
    };
    std::uint64_t total = 0;
    for (auto const& host : hosts)
        total += weight(host);
    if (total == 0)
        return view::no_index;
    auto remaining = random % total;
    for (view::index position = 0; position < hosts.size(); ++position)
    {
        auto const own = weight(hosts[position]);
        if (remaining < own)
            return position;
        remaining -= own;
    }
    return view::no_index;
}

destination go_to(destination_kind kind, view::index entry_host)
{
    return {kind, view::no_index, entry_host, reason::ok};
}

view::index draw_other_region(search const& state, policy const& rules, std::uint64_t random)
{
    if (rules.regions.empty())
    {
        return draw_by_credits(state,
                               random,
                               [&state](view::entry_host const& host)
                               {
                                   return !is_in_region(state, host, state.own_region);
                               });
    }
    for (auto const& region : rules.regions)
    {
        if (region == state.own_region)
            continue;
        auto const host = draw_by_credits(state,
                                          random,
                                          [&](view::entry_host const& candidate)
                                          {
                                              return is_in_region(state, candidate, region);
                                          });
        if (host != view::no_index)
            return host;
    }
    return view::no_index;
}

bool is_allowed_host(search const& state, policy const& rules, view::entry_host const& host)
{
    auto const region = region_of(state.world, host.failure_domain);
    return is_eligible(state, host) && (region == state.own_region || is_allowed(rules, region));
}

} // namespace

destination choose_remote(view::world_view const& world,
                          std::span<credit_usage const> credits_in_use,
                          request_facts const& request,
                          kernel::monotonic_time now,
                          std::uint64_t random)
{
    search const state{
        world, credits_in_use, request, now, region_of(world, world.own_failure_domain)};
    auto const& rules = world.configuration->services[request.service].steering_policy;
    auto const sibling = draw_by_credits(state,
                                         random,
                                         [&state](view::entry_host const& host)
                                         {
                                             return is_in_region(state, host, state.own_region);
                                         });
    if (sibling != view::no_index)
        return go_to(destination_kind::sibling, sibling);
    auto const other = draw_other_region(state, rules, random);
    if (other != view::no_index)
        return go_to(destination_kind::shift, other);
    bool const may_wait = std::any_of(world.entry_hosts.begin(),
                                      world.entry_hosts.end(),
                                      [&](view::entry_host const& host)
                                      {
                                          return is_allowed_host(state, rules, host);
                                      });
    destination none;
    none.kind = may_wait ? destination_kind::wait : destination_kind::refuse;
    none.cause = may_wait ? reason::no_credit : reason::no_backend_server;
    return none;
}

destination
choose_remote_blind(view::world_view const& world, request_facts const& request, std::uint64_t turn)
{
    search const state{world, {}, request, {}, region_of(world, world.own_failure_domain)};
    auto const& rules = world.configuration->services[request.service].steering_policy;
    auto const& hosts = world.entry_hosts;
    for (std::size_t step = 0; step < hosts.size(); ++step)
    {
        auto const position = static_cast<view::index>((turn % hosts.size() + step) % hosts.size());
        auto const& host = hosts[position];
        if (!is_allowed_host(state, rules, host))
            continue;
        bool const is_sibling = is_in_region(state, host, state.own_region);
        return go_to(is_sibling ? destination_kind::sibling : destination_kind::shift, position);
    }
    destination none;
    none.cause = reason::no_backend_server;
    return none;
}

} // namespace pistachiohub::steer
