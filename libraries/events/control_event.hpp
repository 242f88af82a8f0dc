#pragma once

/// @file
/// Messages to the control duty, which owns member states and publishes the world view.

#include "kernel/clock.hpp"
#include "libraries/configuration/configuration.hpp"
#include "libraries/messages/peer_message.hpp"
#include "libraries/view/world_view.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pistachiohub::events
{

/// Any authenticated message of another daemon was received.
struct peer_heard
{
    std::string sender;
    std::uint64_t incarnation = 0;
    std::uint64_t configuration_version = 0;
    /// Present when the message was a heartbeat.
    std::optional<messages::heartbeat> beat;
};

/// A peer asks for the configuration.
struct configuration_wanted
{
    std::string requester;
};

/// A checked configuration from the store or from a peer.
struct configuration_received
{
    std::shared_ptr<configuration::configuration const> document;
    /// JSON text as stored, for handing on to peers.
    std::shared_ptr<std::string const> text;
};

/// An entry host in the platform's host list.
struct listed_entry_host
{
    std::string name;
    std::string address;
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    std::uint16_t admin_port = 0;
    bool is_leaving = false;
};

/// A backend server in the platform's host list.
struct listed_backend_server
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::string service;
    bool is_leaving = false;
};

/// The host list of one failure domain.
struct host_list_received
{
    std::string failure_domain;
    std::vector<listed_entry_host> entry_hosts;
    std::vector<listed_backend_server> backend_servers;
};

/// What an answer or a probe said about a backend server.
struct backend_observation
{
    std::string backend_server;
    kernel::monotonic_time observed_at;
    /// False when the server could not be connected to.
    bool is_reachable = true;
    bool is_leaving = false;
    /// Requests in flight divided by slots; negative when not reported.
    double load = -1;
};

/// What the forward duty uses and can offer, sent to the control duty about every 100 ms.
struct usage_report
{
    std::uint32_t requests_in_flight = 0;
    /// Spare slots of each service that foreign requests may use.
    std::vector<messages::service_credit> credits;
};

/// Another daemon has fenced the own journal through `epoch`; ids need a later one.
struct epoch_fenced
{
    std::uint32_t epoch = 0;
};

/// Any message to the control duty.
using control_event = std::variant<peer_heard,
                                   configuration_wanted,
                                   configuration_received,
                                   host_list_received,
                                   backend_observation,
                                   usage_report,
                                   epoch_fenced>;

/// Says whether this daemon watches the store for its failure domain; published by the control
/// duty.
struct reader_role
{
    bool is_reader = true;
};

} // namespace pistachiohub::events
