#include "utilities/subcommand.hpp"

#include <algorithm>
#include <vector>

namespace pistachiohub::utilities
{

namespace
{

// A function-local static is initialised before the first registration, whatever the link order.
std::vector<subcommand>& subcommand_list()
{
    static std::vector<subcommand> list;
    return list;
}

} // namespace

subcommand_registration::subcommand_registration(subcommand const& registered)
{
    auto& list = subcommand_list();
    auto const position = std::upper_bound(list.begin(),
                                           list.end(),
                                           registered,
                                           [](subcommand const& left, subcommand const& right)
                                           {
                                               return left.name < right.name;
                                           });
    list.insert(position, registered);
}

std::span<subcommand const> subcommands()
{
    return subcommand_list();
}

} // namespace pistachiohub::utilities
