#include "plugins/steer/remote_choice.hpp"

#include <algorithm>
#include <string_view>

namespace pistachiohub::steer
{

namespace
{

using configuration::policy;

/// Inputs of one choice, shared by all of its steps.
struct choice_context
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

bool is_eligible(choice_context const& context, view::entry_host const& host)
{
    if (host.state != view::member_state::live || host.name == context.world.own_name)
        return false;
    if (host.failure_domain == context.world.own_failure_domain)
        return false;
    auto const& tried = context.request.tried_entry_hosts;
    return std::find(tried.begin(), tried.end(), host.name) == tried.end();
}

bool is_in_region(choice_context const& context,
                  view::entry_host const& host,
                  std::string_view region)
{
    return region_of(context.world, host.failure_domain) == region;
}

bool is_allowed(policy const& rules, std::string_view region)
{
    if (rules.regions.empty())
        return true;
    return std::find(rules.regions.begin(), rules.regions.end(), region) != rules.regions.end();
}

std::uint32_t free_credits(choice_context const& context, view::entry_host const& host)
{
    std::uint32_t offered = 0;
    for (auto const& offer : host.credits)
    {
        if (offer.service == context.request.service && context.now < offer.expires_at)
            offered = std::max(offered, offer.slots);
    }
    if (offered == 0)
        return 0;
    std::uint32_t used = 0;
    for (auto const& usage : context.credits_in_use)
    {
        if (usage.service == context.request.service && usage.entry_host == host.name)
            used += usage.in_flight;
    }
    return offered > used ? offered - used : 0;
}

/// Draws a host among those that `is_wanted` accepts, weighted by free credits.
template<class Filter>
view::index draw_by_credits(choice_context const& context, std::uint64_t random, Filter is_wanted)
{
    auto const& hosts = context.world.entry_hosts;
    auto const weight_of = [&](view::entry_host const& host) -> std::uint64_t
    {
        return is_eligible(context, host) && is_wanted(host) ? free_credits(context, host) : 0;
    };
    std::uint64_t total = 0;
    for (auto const& host : hosts)
        total += weight_of(host);
    if (total == 0)
        return view::no_index;
    auto remaining = random % total;
    for (view::index position = 0; position < hosts.size(); ++position)
    {
        auto const weight = weight_of(hosts[position]);
        if (remaining < weight)
            return position;
        remaining -= weight;
    }
    return view::no_index;
}

destination make_entry_host_destination(destination_kind kind, view::index entry_host)
{
    return {kind, view::no_index, entry_host, reason::ok};
}

view::index
draw_other_region(choice_context const& context, policy const& rules, std::uint64_t random)
{
    if (rules.regions.empty())
    {
        return draw_by_credits(context,
                               random,
                               [&context](view::entry_host const& host)
                               {
                                   return !is_in_region(context, host, context.own_region);
                               });
    }
    for (auto const& region : rules.regions)
    {
        if (region == context.own_region)
            continue;
        auto const host = draw_by_credits(context,
                                          random,
                                          [&](view::entry_host const& candidate)
                                          {
                                              return is_in_region(context, candidate, region);
                                          });
        if (host != view::no_index)
            return host;
    }
    return view::no_index;
}

bool is_allowed_host(choice_context const& context,
                     policy const& rules,
                     view::entry_host const& host)
{
    auto const region = region_of(context.world, host.failure_domain);
    return is_eligible(context, host) &&
           (region == context.own_region || is_allowed(rules, region));
}

} // namespace

destination choose_remote(view::world_view const& world,
                          std::span<credit_usage const> credits_in_use,
                          request_facts const& request,
                          kernel::monotonic_time now,
                          std::uint64_t random)
{
    choice_context const context{
        world, credits_in_use, request, now, region_of(world, world.own_failure_domain)};
    auto const& rules = world.configuration->services[request.service].steering_policy;
    auto const sibling = draw_by_credits(context,
                                         random,
                                         [&context](view::entry_host const& host)
                                         {
                                             return is_in_region(context, host, context.own_region);
                                         });
    if (sibling != view::no_index)
        return make_entry_host_destination(destination_kind::sibling, sibling);
    auto const other = draw_other_region(context, rules, random);
    if (other != view::no_index)
        return make_entry_host_destination(destination_kind::shift, other);
    bool const may_wait = std::any_of(world.entry_hosts.begin(),
                                      world.entry_hosts.end(),
                                      [&](view::entry_host const& host)
                                      {
                                          return is_allowed_host(context, rules, host);
                                      });
    destination none;
    none.kind = may_wait ? destination_kind::wait : destination_kind::refuse;
    none.cause = may_wait ? reason::no_credit : reason::no_backend_server;
    return none;
}

destination choose_remote_round_robin(view::world_view const& world,
                                      request_facts const& request,
                                      std::uint64_t turn)
{
    choice_context const context{
        world, {}, request, {}, region_of(world, world.own_failure_domain)};
    auto const& rules = world.configuration->services[request.service].steering_policy;
    auto const& hosts = world.entry_hosts;
    for (std::size_t step = 0; step < hosts.size(); ++step)
    {
        auto const position = static_cast<view::index>((turn % hosts.size() + step) % hosts.size());
        auto const& host = hosts[position];
        if (!is_allowed_host(context, rules, host))
            continue;
        bool const is_sibling = is_in_region(context, host, context.own_region);
        return make_entry_host_destination(
            is_sibling ? destination_kind::sibling : destination_kind::shift, position);
    }
    destination none;
    none.cause = reason::no_backend_server;
    return none;
}

} // namespace pistachiohub::steer
