#pragma once

/// @file
/// A request of a caller on its way through the gateway.

#include "kernel/clock.hpp"
#include "libraries/outcome/outcome.hpp"
#include "libraries/routing/routing_table.hpp"
#include "plugins/gateway/message.hpp"
#include "plugins/gateway/server_table.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pistachiohub::gateway
{

/// Where a request stands.
enum class request_state
{
    /// Not sent, or its last send is known not to have started.
    waiting,
    /// A backend server has it.
    running,
    /// Answered, or its caller has gone.
    ended
};

/// One request of a caller. Only the gateway's thread uses it.
struct gateway_request
{
    /// Unique in this process.
    std::uint64_t number = 0;
    /// The caller's id; empty if it gave none.
    std::string id;
    /// Network address of the caller, without its port.
    std::string caller_address;
    caller_request message;
    /// Configuration under which the request is decided from its arrival to its end.
    std::shared_ptr<routing::routing_table const> table;
    routing::route const* route = nullptr;
    std::string service;
    /// Hash of the object's key, for routes with affinity.
    std::optional<std::uint64_t> affinity_key;

    kernel::monotonic_time arrived_at;
    /// When the caller must have its answer.
    kernel::monotonic_time answer_by;
    /// When the caller leaves.
    kernel::monotonic_time caller_leaves_at;

    request_state state = request_state::waiting;
    /// The backend server of the last send.
    server_pointer server;
    /// The backend server for a slot of which it waits.
    server_pointer waits_for;
    kernel::monotonic_time sent_at;
    std::uint32_t sends = 0;
    /// Whether the distance of its first server was counted.
    bool is_distance_counted = false;
    /// Ids of the backend servers to which it was sent or that could not be reached.
    std::vector<std::string> tried;
    /// Whether a backend server may have run it.
    bool may_have_run = false;
    /// Whether an answer of a backend server proves that it ran.
    bool has_run = false;
};

using request_pointer = std::shared_ptr<gateway_request>;

/// @returns what is known of a request that has ended, for the settlement.
[[nodiscard]] outcome known_outcome(gateway_request const& request);

/// How one send ended.
enum class attempt_result
{
    /// A whole answer to this request arrived.
    answered,
    /// The backend server says that it did not start the request.
    not_started,
    /// No byte was sent.
    never_sent,
    /// The connection broke, or what arrived was no answer to this request. It may have run.
    broken
};

/// @returns the name used in logs and metric labels.
[[nodiscard]] std::string_view to_string(attempt_result value);

/// The end of one send.
struct attempt_end
{
    attempt_result result = attempt_result::broken;
    /// Valid for `answered` and `not_started`.
    answer received;
    /// Running and waiting requests that the backend server reports, if it does.
    std::optional<double> reported_load;
    /// What went wrong, for logs.
    std::string_view detail;
};

} // namespace pistachiohub::gateway
