#include "plugins/gateway/directory_choice.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

bool names_by_capacity(kernel::directory_rule rule, routing::routing_document const* document)
{
    if (rule != kernel::directory_rule::by_capacity_for_uploads)
        return rule == kernel::directory_rule::by_capacity;
    return document != nullptr && std::any_of(document->routes.begin(),
                                              document->routes.end(),
                                              [](routing::route const& route)
                                              {
                                                  return route.carries_uploads;
                                              });
}

std::vector<host_candidate> select_by_capacity(std::vector<host_candidate> candidates)
{
    std::stable_sort(candidates.begin(),
                     candidates.end(),
                     [](host_candidate const& left, host_candidate const& right)
                     {
                         return left.capacity > right.capacity;
                     });
    double whole = 0;
    for (auto const& host : candidates)
        whole += host.capacity;
    double named = 0;
    std::size_t count = 0;
    for (auto const& host : candidates)
    {
        bool const is_large = host.capacity >= min_relative_capacity * candidates.front().capacity;
        if (!is_large && count >= min_named_hosts && named >= min_named_capacity * whole)
            break;
        named += host.capacity;
        ++count;
    }
    candidates.resize(count);
    return candidates;
}

} // namespace pistachiohub::gateway
