#pragma once

/// @file
/// The requests that this daemon owns.

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

/// Epochs for which an id's state is kept; older ids are refused (rule R1).
inline constexpr std::uint32_t retention = 10;
/// Most ids kept. With about 300 bytes each this stays under a third of a daemon's 256 MB.
inline constexpr std::size_t most_requests = 200000;
/// Most ids of future epochs kept as refused. They outlive the retention, so that they need a
/// bound of their own.
inline constexpr std::size_t most_future_requests = 1000;
/// Most bytes of bodies and kept answers; a new request beyond it is refused.
inline constexpr std::size_t most_kept_bytes = 96U << 20U;
/// How long the answer to an idempotent request is kept: the longest deadline that a caller may
/// set.
inline constexpr kernel::duration idempotent_answer_time = std::chrono::seconds(60);

/// Someone who waits for the end of a request.
struct waiter
{
    /// Daemon that forwarded the request; empty for a caller of this daemon.
    std::string daemon;
    std::uint64_t daemon_incarnation = 0;
    std::uint64_t exchange = 0;
    kernel::monotonic_time deadline;
};

/// One attempt, here or at an entry host of another failure domain.
struct attempt
{
    std::uint32_t number = 0;
    local_run run;
    /// Entry host that the attempt was relayed to; empty when it runs here.
    std::string entry_host;
    std::uint64_t entry_host_incarnation = 0;
    bool holds_credit = false;
    /// True when the relay counts against the shift cap.
    bool is_shift = false;
    /// `relay_cancel` messages that may still be sent after the deadline.
    std::uint32_t queries_left = 0;
    /// Why the attempt did not give an answer.
    reason cause = reason::ok;
};

/// Where a request stands.
enum class request_phase
{
    /// The intent is being written to the journal.
    awaiting_intent,
    /// In the waiting queue.
    queued,
    running,
    /// Its outcome has been told; an unresolved one may still be settled.
    closed
};

/// A request and all that is known of it.
struct request
{
    identity::request_id id;
    /// Order of admission; breaks ties, so that equal inputs give equal decisions.
    std::uint64_t sequence = 0;
    std::string service;
    /// The kind and the journal mode at admission hold for the request's whole life.
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
    /// True in the waiting queue when the request was tried before or must run alone.
    bool has_fewer_places = false;
    /// When the request entered the waiting queue.
    kernel::monotonic_time queued_at;
    request_phase phase = request_phase::queued;
    outcome result = outcome::unresolved;
    reason cause = reason::ok;
    std::string answer;
    /// True once the answer of an idempotent request is no longer kept.
    bool is_answer_dropped = false;
    bool is_journaled = false;
    kernel::monotonic_time closed_at;
    /// Time of the entry in the table's timers; `max()` when there is none.
    kernel::monotonic_time timer = kernel::monotonic_time::max();
};

/// All requests that this daemon owns.
struct request_table
{
    std::unordered_map<identity::request_id, std::unique_ptr<request>, identity::request_id_hash>
        requests;
    std::map<std::uint32_t, std::vector<request*>> by_epoch;
    /// Requests that need attention at a time; the second part of the key is the sequence.
    std::map<std::pair<kernel::monotonic_time, std::uint64_t>, request*> timers;
    /// Closed idempotent requests in the order of their closing.
    std::deque<std::pair<kernel::monotonic_time, identity::request_id>> idempotent_answers;
    std::uint64_t next_sequence = 1;
    /// Newest epoch seen; never decreases, so that a dropped id can never be accepted again.
    std::uint32_t newest_epoch = 0;
    std::size_t future_requests = 0;
    std::size_t kept_bytes = 0;
    /// Requests that are not closed.
    std::size_t open_requests = 0;
};

/// @returns true unless every attempt is proven not to have been started.
[[nodiscard]] bool has_unproven_attempt(request const& subject);

/// @returns true if rule R3 and the one-at-a-time rule of idempotent requests allow an attempt.
[[nodiscard]] bool may_start_attempt(request const& subject);

/// @returns the request, or null.
[[nodiscard]] request* find(request_table& table, identity::request_id const& id);

/// Adds an open request. Its id must be new.
request& insert(request_table& table,
                identity::request_id const& id,
                std::string_view service,
                std::string body);

/// Sets the timer to the next time at which the request needs attention, or removes it.
void arm(request_table& table, request& subject);

/// Removes and returns a request whose timer has passed, or null.
[[nodiscard]] request* pop_due(request_table& table, kernel::monotonic_time now);

/// Frees the body and keeps the answer of a request that is being closed.
void keep_answer(request_table& table,
                 request& subject,
                 std::string answer,
                 kernel::monotonic_time now);

/// Drops the answers of idempotent requests that were closed long ago.
void drop_old_answers(request_table& table, kernel::monotonic_time now);

/// Drops ids that have left the retention.
/// @returns the dispatch numbers of their local attempts, which are now unknown.
[[nodiscard]] std::vector<std::uint64_t> drop_old_requests(request_table& table);

} // namespace pistachiohub::forward
