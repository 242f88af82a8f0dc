#pragma once

/// @file
/// The outcomes of a request and the reasons that go with them.

#include <optional>
#include <string_view>

namespace pistachiohub
{

/// What is known about a request when it is answered.
enum class outcome
{
    /// A backend server's answer is held or was delivered.
    ran,
    /// Proven not to have been started by any backend server.
    not_run,
    /// May have run; listed by id until settled.
    unresolved
};

/// Why a request has its outcome, or why an attempt was retried.
enum class reason
{
    ok,
    malformed_http,
    body_too_large,
    header_too_large,
    bad_request_id,
    missing_request_id,
    bad_deadline,
    bad_query,
    unknown_service,
    unknown_path,
    not_ready,
    not_owner,
    owner_unreachable,
    owner_restarted,
    expired,
    future_epoch,
    id_reused,
    draining,
    daemon_overloaded,
    no_backend_server,
    queue_deadline,
    deadline,
    shift_cap,
    link_budget,
    no_credit,
    destination_refused,
    relay_unsent,
    relay_silent,
    backend_server_refused,
    backend_server_unreachable,
    connection_broken,
    retry_budget,
    quarantined,
    journal_unavailable,
    fenced,
    cancelled
};

/// @returns the name used in headers, JSON, logs and metric labels.
[[nodiscard]] std::string_view to_string(outcome value);

/// @returns the name used in headers, JSON, logs and metric labels.
[[nodiscard]] std::string_view to_string(reason value);

/// @returns the outcome of that name, or nothing.
[[nodiscard]] std::optional<outcome> parse_outcome(std::string_view name);

/// @returns the reason of that name, or nothing.
[[nodiscard]] std::optional<reason> parse_reason(std::string_view name);

} // namespace pistachiohub
