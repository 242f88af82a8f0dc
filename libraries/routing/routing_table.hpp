#pragma once

/// @file
/// Finds the route of a request.

#include "libraries/routing/route.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pistachiohub::routing
{

namespace detail
{

/// Lets hash maps of strings be searched by views.
struct text_hash
{
    using is_transparent = void;

    [[nodiscard]] std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>()(text);
    }
};

} // namespace detail

/// A map keyed by text.
template<class Value>
using text_map = std::unordered_map<std::string, Value, detail::text_hash, std::equal_to<>>;

/// An immutable index of one configuration.
struct routing_table
{
    routing_document document;
    /// Positions in `document.routes` by host and then by path prefix.
    text_map<text_map<std::size_t>> routes_by_host;
    /// Positions in `document.services` by name.
    text_map<std::size_t> services_by_name;
    /// Positions in `document.customers` by key; missing for a key that several customers claim.
    text_map<std::optional<std::size_t>> customers_by_key;
};

/// Builds the index of a document.
[[nodiscard]] std::shared_ptr<routing_table const> make_routing_table(routing_document document);

/// @param host value of the `Host` header, with or without a port.
/// @param target request target; its query is ignored.
/// @returns the route with the longest prefix that begins the path, or null. Takes time in the
/// number of slashes of the path, not in the number of routes.
[[nodiscard]] route const*
find_route(routing_table const& table, std::string_view host, std::string_view target);

/// Result of the search for a customer.
struct found_customer
{
    /// Null if nobody has the key, or several customers claim it.
    customer const* holder = nullptr;
    bool is_claimed_by_several = false;
};

/// Finds the customer that holds a key, in constant time.
[[nodiscard]] found_customer find_customer(routing_table const& table, std::string_view key);

/// @returns the service, or null.
[[nodiscard]] service const* find_service(routing_table const& table, std::string_view name);

} // namespace pistachiohub::routing
