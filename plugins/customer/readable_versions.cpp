#include "plugins/customer/readable_versions.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace pistachiohub::customer
{

namespace
{

using key_set = std::unordered_set<std::string_view>;

bool contains(std::vector<std::string> const& keys, std::string_view key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

std::vector<std::string>
merge_keys(routing::customer const& newest, routing::customer const& earlier, key_set const& listed)
{
    auto keys = newest.keys;
    if (newest.has_all_keys)
        return keys;
    for (auto const& key : earlier.keys)
    {
        if (!contains(newest.keys, key) && !listed.contains(key))
            keys.push_back(key);
    }
    return keys;
}

std::vector<std::string> names_of(std::vector<routing::customer> const& customers)
{
    std::vector<std::string> names;
    names.reserve(customers.size());
    for (auto const& one : customers)
        names.push_back(one.name);
    return names;
}

} // namespace

std::vector<std::string> keep_readable(routing::routing_document& next,
                                       routing::routing_document const& previous)
{
    if (!next.customers || !previous.customers)
        return {};
    if (next.are_customers_unreadable)
    {
        next.customers = previous.customers;
        return names_of(*next.customers);
    }
    std::unordered_map<std::string_view, routing::customer const*> earlier;
    for (auto const& one : *previous.customers)
    {
        if (one.is_readable)
            earlier.emplace(one.name, &one);
    }
    key_set listed;
    for (auto const& one : *next.customers)
        listed.insert(one.keys.begin(), one.keys.end());
    std::vector<routing::customer> kept;
    for (auto const& one : *next.customers)
    {
        auto const found = earlier.find(one.name);
        if (one.is_readable || found == earlier.end())
            continue;
        kept.push_back(*found->second);
        kept.back().keys = merge_keys(one, *found->second, listed);
    }
    auto names = names_of(kept);
    auto position = kept.begin();
    for (auto& one : *next.customers)
    {
        // In the same order as above.
        if (position != kept.end() && one.name == position->name)
            one = std::move(*position++);
    }
    return names;
}

std::vector<std::string> names_with_shared_keys(routing::routing_table const& table)
{
    std::vector<std::string> names;
    if (!table.document.customers)
        return names;
    for (auto const& one : *table.document.customers)
    {
        bool const has_shared_key =
            std::any_of(one.keys.begin(),
                        one.keys.end(),
                        [&table](std::string const& key)
                        {
                            return routing::find_customer(table, key).is_claimed_by_several;
                        });
        if (has_shared_key)
            names.push_back(one.name);
    }
    return names;
}

} // namespace pistachiohub::customer
