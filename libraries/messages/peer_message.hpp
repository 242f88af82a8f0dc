#pragma once

/// @file
/// Messages between daemons.

#include "libraries/identity/request_id.hpp"
#include "libraries/outcome/outcome.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pistachiohub::messages
{

/// Free slots of one service that the sender offers for foreign requests.
struct service_credit
{
    std::string service;
    std::uint32_t slots = 0;
};

/// What the sender knows of one entry host, itself included.
struct member_summary
{
    std::string name;
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    std::uint32_t epoch = 0;
    bool is_leaving = false;
    /// Milliseconds since the sender heard this host directly or indirectly; 0 for itself.
    std::uint32_t age_ms = 0;
};

/// Liveness and offers of the sender.
struct heartbeat
{
    bool is_leaving = false;
    std::uint32_t epoch = 0;
    std::uint32_t requests_in_flight = 0;
    std::vector<service_credit> credits;
    /// Other hosts, as summarised by a failure domain's readers.
    std::vector<member_summary> members;
    /// Highest store revision up to which the sender knows the host list.
    std::uint64_t host_list_revision = 0;
};

/// A re-sent request on its way to its owner.
struct submit
{
    /// Chosen by the sender to match the reply.
    std::uint64_t exchange = 0;
    identity::request_id id;
    std::string service;
    std::uint32_t remaining_ms = 0;
    std::string body;
};

/// The owner's answer to `submit`.
struct submit_reply
{
    std::uint64_t exchange = 0;
    outcome result = outcome::unresolved;
    reason cause = reason::ok;
    std::string answer;
};

/// An attempt that the owner has a daemon of another failure domain dispatch.
struct relay
{
    identity::request_id id;
    std::uint32_t attempt = 0;
    std::string service;
    std::uint32_t remaining_ms = 0;
    /// True when the request has broken a backend server's connection before.
    bool is_suspect = false;
    std::string body;
};

/// The end of a relayed attempt.
struct relay_reply
{
    identity::request_id id;
    std::uint32_t attempt = 0;
    outcome result = outcome::unresolved;
    reason cause = reason::ok;
    /// Backend server that the attempt reached; empty if none.
    std::string backend_server;
    std::string answer;
};

/// Asks for the end of a relayed attempt, and forbids its start if it has not started.
struct relay_cancel
{
    identity::request_id id;
    std::uint32_t attempt = 0;
};

/// Asks for the configuration, sent to a daemon that holds a higher version.
struct configuration_request
{
};

/// The whole configuration as its JSON text.
struct configuration_document
{
    std::uint64_t version = 0;
    std::string text;
};

/// Tells all daemons that requests of this fingerprint crash backend servers.
struct quarantine_notice
{
    std::uint64_t fingerprint = 0;
    std::uint32_t remaining_ms = 0;
    /// False releases the fingerprint when `remaining_ms` is 0, and is a suspicion otherwise.
    bool is_quarantined = true;
    /// For a suspicion: the backend server whose connection broke. A suspicion without it, as from
    /// a codec that does not know this field, has no effect. The initializer lets code that names
    /// only the fields before it compile without a warning.
    std::string backend_server = {};
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

    bool operator==(listed_entry_host const& other) const = default;
};

/// A backend server in the platform's host list.
struct listed_backend_server
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::string service;
    bool is_leaving = false;

    bool operator==(listed_backend_server const& other) const = default;
};

/// Asks a daemon of the own failure domain for the host lists that changed after a revision.
struct host_list_request
{
    /// Store revision up to which the sender knows the host list.
    std::uint64_t revision = 0;
};

/// The host list of one failure domain, as part of an answer to `host_list_request` or unasked.
struct host_list
{
    /// Store revision at which the list was read.
    std::uint64_t revision = 0;
    /// Empty in an answer without lists.
    std::string failure_domain;
    std::vector<listed_entry_host> entry_hosts;
    std::vector<listed_backend_server> backend_servers;
    /// Store revision that the receiver of the whole answer knows the host list up to.
    std::uint64_t reached_revision = 0;
    /// Number of the message in its answer, from 1, and messages in the answer; both 0 when the
    /// list was not asked for. Messages may be lost, so a receiver counts an answer as whole only
    /// when it got all of them.
    std::uint32_t position = 0;
    std::uint32_t count = 0;
};

/// Any message.
using payload = std::variant<heartbeat,
                             submit,
                             submit_reply,
                             relay,
                             relay_reply,
                             relay_cancel,
                             configuration_request,
                             configuration_document,
                             quarantine_notice,
                             host_list_request,
                             host_list>;

/// A message with what every message carries.
struct envelope
{
    std::string sender;
    std::uint64_t sender_incarnation = 0;
    std::uint64_t configuration_version = 0;
    /// The message is dropped by a receiver of another incarnation; 0 reaches any.
    std::uint64_t recipient_incarnation = 0;
    payload content;
};

} // namespace pistachiohub::messages
