#include "libraries/view/world_view.hpp"

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
    return find_name(world.entry_hosts, name);
}

} // namespace pistachiohub::view
