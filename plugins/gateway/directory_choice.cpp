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
    double greatest = 0;
    double whole = 0;
    for (auto const& host : candidates)
    {
        greatest = std::max(greatest, host.capacity);
        whole += host.capacity;
    }
    std::vector<host_candidate> large;
    double named = 0;
    for (auto const& host : candidates)
    {
        if (host.capacity < min_relative_capacity * greatest)
            continue;
        large.push_back(host);
        named += host.capacity;
    }
    bool const suffices = large.size() >= min_named_hosts && named >= min_named_capacity * whole;
    return suffices ? large : candidates;
}

} // namespace pistachiohub::gateway
