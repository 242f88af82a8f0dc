#include "libraries/view/world_view.hpp"

#include <algorithm>
#include <string_view>

namespace pistachiohub::view
{

namespace
{

template<class Named>
index find_name(std::vector<Named> const& items, std::string_view name)
{
    for (index position = 0; position < items.size(); ++position)
    {
        if (items[position].name == name)
            return position;
    }
    return no_index;
}

} // namespace

index find_service(world_view const& world, std::string_view name)
{
    return find_name(world.configuration->services, name);
}

index find_failure_domain(world_view const& world, std::string_view name)
{
    return find_name(world.configuration->failure_domains, name);
}

index find_entry_host(world_view const& world, std::string_view name)
{
    // Peer commands look hosts up by name; a scan over 8,000 hosts takes tens of microseconds.
    auto const& sorted = world.entry_hosts_by_name;
    if (sorted.size() != world.entry_hosts.size())
        return find_name(world.entry_hosts, name);
    auto const position = std::lower_bound(sorted.begin(),
                                           sorted.end(),
                                           name,
                                           [&world](index host, std::string_view wanted)
                                           {
                                               return world.entry_hosts[host].name < wanted;
                                           });
    bool const is_found = position != sorted.end() && world.entry_hosts[*position].name == name;
    return is_found ? *position : no_index;
}

} // namespace pistachiohub::view
