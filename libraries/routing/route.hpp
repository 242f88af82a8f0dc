#pragma once

/// @file
/// Routes, services and limits of one version of the gateway's configuration.

#include "libraries/routing/customer.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pistachiohub::routing
{

/// What may be repeated.
enum class request_kind
{
    idempotent,
    at_most_once
};

/// One of the services among which a route distributes its requests.
struct split_part
{
    /// Empty if it could not be read; requests of this part are refused.
    std::string service;
    std::uint32_t weight = 1;
};

/// Where requests of one host and path prefix go, and how.
struct route
{
    std::string name;
    /// In lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::at_most_once;
    /// Longest time that a caller waits for its answer.
    std::chrono::milliseconds timeout{0};
    /// Time within which an answer is of full use to the caller.
    std::chrono::milliseconds target_latency{0};
    /// 0 is the highest.
    std::uint32_t priority = 0;
    /// Backend servers to which one request may be sent.
    std::uint32_t most_attempts = 1;
    /// Whether a backend server that knows the object answers faster.
    bool has_affinity = false;
    /// Whether its requests have large bodies.
    bool carries_uploads = false;
    /// Never empty; a single part has all requests.
    std::vector<split_part> split;
    /// Regions that may serve the route; empty permits all.
    std::vector<std::string> home_regions;
    /// Whether its requests need no key where the configuration names customers.
    bool is_key_exempt = false;
    /// Whether all fields that bind could be read; requests of an unreadable route are refused.
    bool is_readable = true;
};

/// A group of backend servers with the same work.
struct service
{
    std::string name;
    std::string health_path;
    std::uint32_t most_connections = 0;
    std::chrono::milliseconds cold_time{0};
    /// Requests a second that a cold backend server tolerates.
    double cold_requests_per_second = 0;
    /// Whether all fields could be read; requests for an unreadable service are refused.
    bool is_readable = true;
};

/// What callers may send, and how long they may take.
struct caller_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 67'108'864;
    std::chrono::milliseconds header_time{3000};
    std::chrono::milliseconds idle_time{15000};
};

/// A part of a configuration that could not be read.
struct unreadable_part
{
    /// Path of the part, for example `routes.checkout`.
    std::string path;
    /// The field, its value and what is permitted.
    std::string fault;
};

/// One version of the configuration.
struct routing_document
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    /// Missing if the configuration names no customers; requests then need no key.
    std::optional<std::vector<customer>> customers;
    /// Whether the configuration names customers in a form that cannot be read at all; `customers`
    /// is empty then. Nothing is known of any key.
    bool are_customers_unreadable = false;
    caller_limits limits;
    /// What could not be read; the rest applies.
    std::vector<unreadable_part> unreadable;
    /// Whether a route's host or path prefix could not be read. A request that matches no other
    /// route may be meant for it.
    bool has_unplaced_route = false;
};

} // namespace pistachiohub::routing
