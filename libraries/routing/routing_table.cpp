#include "libraries/routing/routing_table.hpp"

#include <algorithm>
#include <cctype>
#include <span>

namespace pistachiohub::routing
{

namespace
{

std::string normalise_host(std::string_view host)
{
    auto const colon = host.rfind(':');
    // The colons of an IPv6 address stand in brackets.
    bool const has_port =
        colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    std::string result(has_port ? host.substr(0, colon) : host);
    std::transform(result.begin(),
                   result.end(),
                   result.begin(),
                   [](unsigned char character)
                   {
                       return static_cast<char>(std::tolower(character));
                   });
    return result;
}

void index_keys(std::span<customer const> customers,
                text_map<std::optional<std::size_t>>& customers_by_key)
{
    for (std::size_t position = 0; position < customers.size(); ++position)
    {
        for (auto const& key : customers[position].keys)
        {
            auto const [entry, is_new] = customers_by_key.emplace(key, position);
            // A customer may list its key twice.
            if (!is_new && entry->second != position)
                entry->second.reset();
        }
    }
}

} // namespace

std::shared_ptr<routing_table const> make_routing_table(routing_document document)
{
    auto table = std::make_shared<routing_table>();
    table->document = std::move(document);
    auto const& routes = table->document.routes;
    for (std::size_t position = 0; position < routes.size(); ++position)
        table->routes_by_host[normalise_host(routes[position].host)].emplace(
            routes[position].path_prefix, position);
    auto const& services = table->document.services;
    for (std::size_t position = 0; position < services.size(); ++position)
        table->services_by_name.emplace(services[position].name, position);
    if (table->document.customers)
        index_keys(*table->document.customers, table->customers_by_key);
    return table;
}

found_customer find_customer(routing_table const& table, std::string_view key)
{
    auto const found = table.customers_by_key.find(key);
    if (found == table.customers_by_key.end())
        return {};
    if (!found->second)
        return {nullptr, true};
    return {&(*table.document.customers)[*found->second], false};
}

route const* find_route(routing_table const& table, std::string_view host, std::string_view target)
{
    auto const found_host = table.routes_by_host.find(normalise_host(host));
    if (found_host == table.routes_by_host.end())
        return nullptr;
    auto const path = target.substr(0, target.find('?'));
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1))
    {
        auto const found = found_host->second.find(path.substr(0, slash + 1));
        if (found != found_host->second.end())
            return &table.document.routes[found->second];
    }
    return nullptr;
}

service const* find_service(routing_table const& table, std::string_view name)
{
    auto const found = table.services_by_name.find(name);
    return found == table.services_by_name.end() ? nullptr
                                                 : &table.document.services[found->second];
}

} // namespace pistachiohub::routing
