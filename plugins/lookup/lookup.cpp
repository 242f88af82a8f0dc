#include "plugins/lookup/lookup.hpp"

#include "libraries/view/client_table.hpp"

#include <algorithm>
#include <iterator>

namespace pistachiohub::lookup
{

namespace
{

/// The failure domain that serves a client, and the index of the client's address range.
struct client_location
{
    view::index failure_domain = view::no_index;
    std::uint64_t block = 0;
};

client_location locate_client(view::world_view const& world, std::optional<std::uint32_t> client)
{
    client_location const own{world.own_failure_domain, 0};
    if (!client || !world.client_blocks || world.client_blocks->starts.empty())
        return own;
    auto const range = view::find_range(*world.client_blocks, *client);
    auto const domain = world.client_blocks->failure_domains[range];
    if (domain == view::no_index)
        return {own.failure_domain, range};
    return {domain, range};
}

/// Hashes a number so that consecutive numbers are distributed evenly (the finalizer of
/// splitmix64).
std::uint64_t mix_bits(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

std::span<view::index const>
select_order(std::vector<view::index> const& list, std::uint32_t starts, std::uint64_t number)
{
    if (starts <= 1)
        return std::span(list).first(std::min(list.size(), max_entry_hosts));
    auto const stride = starts >= max_entry_hosts ? 1 : max_entry_hosts;
    auto const first = static_cast<std::size_t>(number % starts) * stride;
    if (first + max_entry_hosts > list.size())
        return {};
    return std::span(list).subspan(first, max_entry_hosts);
}

} // namespace

std::span<view::index const> find_entry_hosts(view::world_view const& world,
                                              view::index service,
                                              std::optional<std::uint32_t> client,
                                              std::uint64_t spread)
{
    auto const location = locate_client(world, client);
    if (location.failure_domain == view::no_index || !world.configuration)
        return {};
    auto const domains = world.configuration->failure_domains.size();
    auto const position = service * domains + location.failure_domain;
    if (location.failure_domain >= domains || position >= world.entry_host_order.size())
        return {};
    bool const has_starts = position < world.entry_host_order_starts.size();
    auto const starts = has_starts ? world.entry_host_order_starts[position] : 1;
    auto const order =
        select_order(world.entry_host_order[position], starts, mix_bits(location.block) + spread);
    auto const end = std::find(order.begin(), order.end(), view::no_index);
    return order.first(static_cast<std::size_t>(end - order.begin()));
}

} // namespace pistachiohub::lookup
