#include "libraries/configuration/merge_patch.hpp"

#include <boost/json/object.hpp>

namespace pistachiohub::configuration::detail
{

void merge(boost::json::value& target, boost::json::value const& patch)
{
    if (!patch.is_object())
    {
        target = patch;
        return;
    }
    if (!target.is_object())
        target.emplace_object();
    auto& members = target.get_object();
    for (auto const& change : patch.get_object())
    {
        if (change.value().is_null())
            members.erase(change.key());
        else
            merge(members[change.key()], change.value());
    }
}

} // namespace pistachiohub::configuration::detail
