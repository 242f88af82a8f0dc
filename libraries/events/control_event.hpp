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

using messages::listed_backend_server;
using messages::listed_entry_host;

/// The host list of one failure domain, from the store.
struct host_list_received
{
    std::string failure_domain;
    std::vector<listed_entry_host> entry_hosts;
    std::vector<listed_backend_server> backend_servers;
    /// Store revision at which the list was read.
    std::uint64_t revision = 0;
};

/// The host watch has polled the store. Sent after the lists that the poll returned, and of
/// successive failures only for the first.
struct host_list_polled
{
    bool is_successful = true;
    /// Store revision that the poll reached.
    std::uint64_t revision = 0;
    /// The store counts revisions from an earlier number. Sent ahead of the lists of the poll.
    bool is_restored = false;
};

/// A daemon asks for the host lists that changed after a revision.
struct host_list_wanted
{
    std::string requester;
    std::uint64_t revision = 0;
};

/// A daemon has sent a host list.
struct host_list_told
{
    std::string sender;
    messages::host_list list;
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
                                   host_list_polled,
                                   host_list_wanted,
                                   host_list_told,
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
