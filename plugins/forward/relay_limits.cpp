#include "plugins/forward/relay_limits.hpp"

#include "plugins/forward/step.hpp"

#include <cassert>

namespace pistachiohub::forward
{

namespace
{

std::string const& region_of(step const& current, view::index failure_domain)
{
    return current.world.configuration->failure_domains[failure_domain].region;
}

configuration::link const*
find_link(step const& current, std::string_view from, std::string_view to)
{
    configuration::link const* reverse = nullptr;
    for (auto const& link : current.world.configuration->links)
    {
        if (link.from_region == from && link.to_region == to)
            return &link;
        if (link.from_region == to && link.to_region == from)
            reverse = &link;
    }
    return reverse;
}

std::size_t count_entry_hosts(step const& current, std::string_view region)
{
    std::size_t hosts = 0;
    for (auto const& domain : current.world.configuration->failure_domains)
    {
        if (domain.region == region)
            hosts += domain.entry_hosts;
    }
    return hosts;
}

/// Charges the budget of the link to `region`. A link that is not configured is not limited.
/// @returns false if the budget does not suffice.
bool try_charge_link_budget(step& current, std::string const& region, std::size_t bytes)
{
    auto const& own_region = region_of(current, current.world.own_failure_domain);
    auto const* const link = find_link(current, own_region, region);
    if (link == nullptr)
        return true;
    auto& budget = current.state.links[region];
    limit::set_rate(budget, link->megabits_per_second, count_entry_hosts(current, own_region));
    return limit::try_spend(budget, bytes, current.now);
}

} // namespace

std::vector<steer::credit_usage> list_credits(credit_table const& credits,
                                              view::world_view const& world)
{
    std::vector<steer::credit_usage> listed;
    listed.reserve(credits.size());
    for (auto const& [key, in_flight] : credits)
        listed.push_back({key.first, view::find_service(world, key.second), in_flight});
    return listed;
}

void take_credit(credit_table& credits, std::string_view entry_host, std::string_view service)
{
    ++credits[{std::string(entry_host), std::string(service)}];
}

void release_credit(credit_table& credits, attempt& item, std::string_view service)
{
    if (!item.holds_credit)
        return;
    item.holds_credit = false;
    auto const found = credits.find({item.entry_host, std::string(service)});
    assert(found != credits.end());
    if (--found->second == 0)
        credits.erase(found);
}

bool try_shift(step& current, request const& subject, view::entry_host const& destination)
{
    auto const* const service = find_service(current, subject.service);
    if (service == nullptr || destination.failure_domain == view::no_index)
        return false;
    auto& state = current.state.services[subject.service];
    if (!limit::try_shift(state.shifts, service->steering_policy, current.now))
        return false;
    auto const bytes = subject.body_size + static_cast<std::size_t>(state.answer_bytes);
    if (try_charge_link_budget(current, region_of(current, destination.failure_domain), bytes))
        return true;
    limit::cancel_shift(state.shifts, current.now);
    return false;
}

void undo_shift(step& current, std::string_view service)
{
    auto const found = current.state.services.find(service);
    if (found != current.state.services.end())
        limit::cancel_shift(found->second.shifts, current.now);
}

} // namespace pistachiohub::forward
