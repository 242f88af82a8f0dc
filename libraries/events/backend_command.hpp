#pragma once

/// @file
/// Messages to the backend duty, which holds the connections to backend servers.

#include "kernel/clock.hpp"
#include "libraries/identity/request_id.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace pistachiohub::events
{

/// Sends one attempt to a backend server.
struct dispatch_attempt
{
    /// Number that the result will carry; unique in this daemon's life.
    std::uint64_t dispatch = 0;
    std::string backend_server;
    std::string address;
    std::uint16_t port = 0;
    identity::request_id id;
    std::uint32_t attempt = 0;
    std::string service;
    kernel::monotonic_time deadline;
    std::string body;
};

/// Asks the backend server of an earlier dispatch to cancel it.
struct cancel_attempt
{
    std::uint64_t dispatch = 0;
    std::string backend_server;
    std::string address;
    std::uint16_t port = 0;
    identity::request_id id;
    std::uint32_t attempt = 0;
};

/// Any message to the backend duty. Probe targets are taken from the published world view.
using backend_command = std::variant<dispatch_attempt, cancel_attempt>;

} // namespace pistachiohub::events
