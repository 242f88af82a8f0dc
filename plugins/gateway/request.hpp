#pragma once

/// @file
/// The state of a caller's request in the gateway, from its arrival to its answer.

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

/// Progress of a request.
enum class request_state
{
    /// In the queue: not sent yet, or the last send was refused before the request started.
    waiting,
    /// Sent to a backend server whose answer is pending.
    running,
    /// Answered, or its caller disconnected.
    ended
};

/// The wait that was predicted for a request when it was queued.
struct wait_prediction
{
    double seconds = 0;
    kernel::monotonic_time made_at;
};

/// One request of a caller. Used on the gateway's thread only.
struct gateway_request
{
    /// Unique in this process.
    std::uint64_t number = 0;
    /// Request id that the caller sent; empty if it sent none.
    std::string id;
    /// Network address of the caller, without the port.
    std::string caller_address;
    caller_request message;
    /// Key that the caller presented; missing without one, and if it presented several. Never
    /// logged.
    std::optional<std::string> key;
    /// Configuration in force when the request arrived; it applies until the request ends.
    std::shared_ptr<routing::routing_table const> table;
    routing::route const* route = nullptr;
    /// The customer that holds the request's key; null without one. Part of `table`.
    routing::customer const* customer = nullptr;
    /// Whether a token of the customer's quota was taken for it.
    bool has_quota_token = false;
    /// After which time the caller may retry, if the request is over the quota.
    std::chrono::milliseconds quota_wait{0};
    std::string service;
    /// Hash of the object's key, for routes with affinity; empty if the caller sent no key.
    std::optional<std::uint64_t> affinity_key;

    kernel::monotonic_time arrived_at;
    /// Time at which the gateway answers at the latest: the route's timeout, or a margin before the
    /// caller's deadline if that is earlier.
    kernel::monotonic_time answer_deadline;
    /// Time by which the backend server was told to answer in the last send.
    kernel::monotonic_time run_deadline;
    /// Time at which the request is refused if it still waits.
    kernel::monotonic_time give_up_at;
    /// Time until which the caller waits, as it stated in its request.
    kernel::monotonic_time caller_deadline;

    request_state state = request_state::waiting;
    /// The backend server to which the request was last sent.
    server_pointer server;
    /// Missing unless the request waits.
    std::optional<wait_prediction> predicted_wait;
    /// The backend server for whose next free slot the request waits.
    server_pointer awaited_server;
    /// Time of the last send.
    kernel::monotonic_time sent_at;
    /// Expected time from the last send to its answer, relative to the usual work of a request.
    double work_factor = 1;
    /// Number of sends; one of which no byte left is not counted.
    std::uint32_t sends = 0;
    /// Whether the region of the first server chosen for it was counted, inside or outside the
    /// gateway's region.
    bool is_region_counted = false;
    /// Ids of the backend servers to which it was sent or to which connecting failed.
    std::vector<std::string> tried_servers;
    /// When the backend server began a large answer, which the caller receives in parts. The
    /// request cannot be sent again then.
    std::optional<kernel::monotonic_time> stream_began_at;
    /// Whether the last send is a trial run of a quarantined request.
    bool is_trial_run = false;
    /// Whether a backend server may have run the request.
    bool may_have_run = false;
    /// Whether an answer of a backend server proves that the request ran, in the last send or an
    /// earlier one.
    bool is_run_proven = false;
    /// Whether the answer to the last send was received whole.
    bool is_answer_whole = false;
};

using request_pointer = std::shared_ptr<gateway_request>;

/// @returns the outcome to report for a request that has ended: `ran` if proven, `unresolved` if it
/// may have run, else `not_run`.
[[nodiscard]] outcome known_outcome(gateway_request const& request);

/// Result of one send.
enum class attempt_result
{
    /// A complete answer to this request arrived.
    answered,
    /// The backend server reports that it did not start the request.
    not_started,
    /// No byte was sent.
    never_sent,
    /// The connection broke, or the data received was not an answer to this request. The request
    /// may have run.
    broken
};

/// @returns the name used in logs and metric labels.
[[nodiscard]] std::string_view to_string(attempt_result value);

/// Result of one send with the data received.
struct attempt_end
{
    attempt_result result = attempt_result::broken;
    /// Valid for `answered` and `not_started`.
    answer received;
    /// Missing unless the backend server reported its load.
    std::optional<server_load> reported_load;
    /// Cause of the failure, for logs; empty on success.
    std::string_view detail;
};

} // namespace pistachiohub::gateway
