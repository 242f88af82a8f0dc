#pragma once

/// @file
/// Table of the requests that this daemon owns.

#include "kernel/clock.hpp"
#include "libraries/configuration/configuration.hpp"
#include "libraries/identity/request_id.hpp"
#include "libraries/outcome/outcome.hpp"
#include "plugins/forward/local_run.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pistachiohub::forward
{

/// Number of past epochs for which the state of an id is kept; older ids are refused (rule R1).
inline constexpr std::uint32_t retention_epochs = 10;
/// Maximum number of ids in the table. At about 300 bytes each they take less than a third of the
/// 256 MB of a daemon.
inline constexpr std::size_t max_requests = 200000;
/// Maximum number of refused ids of future epochs. They are kept for longer than other ids and have
/// a limit of their own for that reason.
inline constexpr std::size_t max_future_requests = 1000;
/// Maximum size of all bodies and kept answers in bytes. While it is exceeded, new requests are
/// refused.
inline constexpr std::size_t max_retained_bytes = 96U << 20U;
/// How long the answer to an idempotent request is kept. It equals the longest deadline that a
/// caller may set.
inline constexpr kernel::duration idempotent_answer_retention = std::chrono::seconds(60);

/// A caller of this daemon, or another daemon, that waits for the outcome of a request.
struct waiter
{
    /// Daemon that forwarded the request; empty for a caller of this daemon.
    std::string daemon;
    std::uint64_t daemon_incarnation = 0;
    std::uint64_t exchange = 0;
    kernel::monotonic_time deadline;
};

/// One attempt of a request, at a backend server of this failure domain or relayed to an entry host
/// of another one.
struct attempt
{
    std::uint32_t number = 0;
    local_run run;
    /// Entry host that the attempt was relayed to; empty for a local attempt.
    std::string entry_host;
    std::uint64_t entry_host_incarnation = 0;
    bool holds_credit = false;
    /// True when the relay counts against the shift cap.
    bool is_shift = false;
    /// `relay_cancel` messages that may still be sent after the deadline.
    std::uint32_t queries_left = 0;
    /// Why the attempt ended without an answer.
    reason cause = reason::ok;
};

/// Phase of a request.
enum class request_phase
{
    /// The intent is being written to the journal.
    awaiting_intent,
    /// The request is in the waiting queue.
    queued,
    running,
    /// The waiters have received the outcome. An unresolved one may still be settled.
    closed
};

/// A request with its waiters, attempts and outcome.
struct request
{
    identity::request_id id;
    /// Admission order. It breaks ties, so that equal inputs lead to equal decisions.
    std::uint64_t sequence = 0;
    std::string service;
    /// The kind and the journal mode are copied at admission. Later changes of the configuration do
    /// not affect the request.
    configuration::service_kind kind = configuration::service_kind::at_most_once;
    configuration::journal_mode journal = configuration::journal_mode::none;
    std::uint64_t fingerprint = 0;
    std::size_t body_size = 0;
    std::string body;
    kernel::monotonic_time deadline;
    std::vector<waiter> waiters;
    std::vector<attempt> attempts;
    std::vector<std::string> tried_backend_servers;
    std::vector<std::string> tried_entry_hosts;
    /// Set when the request is queued: true if it was tried before or must run alone on its server,
    /// so that fewer servers are eligible.
    bool has_restricted_placement = false;
    /// When the request last entered the waiting queue.
    kernel::monotonic_time queued_at;
    request_phase phase = request_phase::queued;
    outcome result = outcome::unresolved;
    reason cause = reason::ok;
    std::string answer;
    /// True once the answer of an idempotent request is no longer kept.
    bool is_answer_dropped = false;
    bool is_journaled = false;
    kernel::monotonic_time closed_at;
    /// Time of the request's entry in `request_table::timers`; `max()` if there is none.
    kernel::monotonic_time timer = kernel::monotonic_time::max();
};

/// All requests that this daemon owns.
struct request_table
{
    std::unordered_map<identity::request_id, std::unique_ptr<request>, identity::request_id_hash>
        requests;
    std::map<std::uint32_t, std::vector<request*>> by_epoch;
    /// One entry for each request with a timer, ordered by time and then by sequence number.
    std::map<std::pair<kernel::monotonic_time, std::uint64_t>, request*> timers;
    /// Idempotent requests with a kept answer, in the order in which the answers were stored.
    std::deque<std::pair<kernel::monotonic_time, identity::request_id>> idempotent_answers;
    std::uint64_t next_sequence = 1;
    /// Highest epoch seen. It never decreases, so that an id that was dropped cannot be accepted
    /// again.
    std::uint32_t newest_epoch = 0;
    /// Refused ids of future epochs.
    std::size_t future_requests = 0;
    /// Size of all bodies and kept answers.
    std::size_t retained_bytes = 0;
    /// Requests that are not closed.
    std::size_t open_requests = 0;
};

/// @returns true unless every attempt is proven not to have been started.
[[nodiscard]] bool has_unproven_attempt(request const& subject);

/// @returns true if the request is open and another attempt is allowed: for an at-most-once request
/// only if every earlier attempt is proven not to have been started (rule R3), for an idempotent
/// request only if no attempt is running or overdue.
[[nodiscard]] bool may_start_attempt(request const& subject);

/// @returns the request with this id, or null.
[[nodiscard]] request* find(request_table& table, identity::request_id const& id);

/// Adds an open request. Its id must not be in the table.
request& insert(request_table& table,
                identity::request_id const& id,
                std::string_view service,
                std::string body);

/// Sets the timer to the earliest of the deadlines and the checks of pending attempts, or removes
/// it if there is none.
void update_timer(request_table& table, request& subject);

/// Removes the earliest timer if it has expired.
/// @returns the timer's request, or null if no timer has expired.
[[nodiscard]] request* pop_due(request_table& table, kernel::monotonic_time now);

/// Frees the body of a request that is being closed or settled, and stores its answer.
void replace_body_with_answer(request_table& table,
                              request& subject,
                              std::string answer,
                              kernel::monotonic_time now);

/// Drops the answers of idempotent requests that are older than `idempotent_answer_retention`.
void drop_old_answers(request_table& table, kernel::monotonic_time now);

/// Drops closed requests whose epochs are older than the retention and that have no pending
/// attempt.
/// @returns the dispatch numbers of their local attempts, which are no longer valid.
[[nodiscard]] std::vector<std::uint64_t> drop_old_requests(request_table& table);

} // namespace pistachiohub::forward
