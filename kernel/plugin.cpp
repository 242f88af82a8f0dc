#include "kernel/plugin.hpp"

#include <algorithm>
#include <vector>

namespace pistachiohub::kernel
{

namespace
{

// A function-local static is initialised before the first registration, whatever the link order.
std::vector<plugin>& plugin_list()
{
    static std::vector<plugin> plugins;
    return plugins;
}

} // namespace

registration::registration(plugin const& registered)
{
    auto& plugins = plugin_list();
    auto const position = std::upper_bound(plugins.begin(),
                                           plugins.end(),
                                           registered,
                                           [](plugin const& left, plugin const& right)
                                           {
                                               return left.start_order < right.start_order;
                                           });
    plugins.insert(position, registered);
}

std::span<plugin const> registered_plugins()
{
    return plugin_list();
}

} // namespace pistachiohub::kernel
