#pragma once

/// @file
/// What the answers of backend servers prove (section 4.2 of the design), apart from sockets.

#include "libraries/events/backend_command.hpp"
#include "libraries/events/control_event.hpp"
#include "libraries/events/forward_event.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pistachiohub::backend
{

/// A request to a backend server.
struct server_request
{
    /// `POST`, or `GET` for probes.
    bool is_post = true;
    std::string_view target;
    std::string request_id;
    std::string attempt;
    /// True when `Deadline-Ms` is sent, with the time that remains when the request is written.
    bool has_deadline = false;
    std::string body;
};

/// The whole answer of a backend server. A missing header is empty; the values of a repeated one
/// are joined by commas and thus match nothing.
struct server_answer
{
    unsigned status = 0;
    /// True when the length was stated, so that the body is proven whole.
    bool has_content_length = false;
    std::string request_id;
    std::string attempt;
    std::string not_started;
    std::string server_state;
    std::string load;
    std::string body;
};

/// What a server says of itself.
struct server_report
{
    /// Nothing when not reported.
    std::optional<bool> is_leaving;
    /// Requests in flight divided by slots; negative when not reported.
    double load = -1;
};

/// Builds `POST /run`; takes the body out of `dispatch`.
[[nodiscard]] server_request make_run_request(events::dispatch_attempt& dispatch);

/// Builds `POST /cancel`.
[[nodiscard]] server_request make_cancel_request(events::cancel_attempt const& cancel);

/// Builds `GET /load`.
[[nodiscard]] server_request make_probe_request();

/// @returns `answered` or `refused` when the answer proves it for this id and attempt, else
/// `broken`.
[[nodiscard]] events::attempt_end
classify_answer(server_answer const& answer, std::string_view id, std::string_view attempt);

/// @returns true if the answer to `POST /cancel` proves that the attempt never starts.
[[nodiscard]] bool
is_cancelled(server_answer const& answer, std::string_view id, std::string_view attempt);

/// @returns what the `Server-State` and `Load` headers say, or nothing when neither is valid.
[[nodiscard]] std::optional<server_report> read_report(server_answer const& answer);

/// @returns what the answer to `GET /load` says, or nothing when it is not valid.
[[nodiscard]] std::optional<server_report> read_probe(server_answer const& answer);

} // namespace pistachiohub::backend
