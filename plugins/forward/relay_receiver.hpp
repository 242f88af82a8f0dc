#pragma once

/// @file
/// Receiving side of relayed attempts. Each (request id, attempt number) is dispatched at most
/// once.

#include "kernel/clock.hpp"
#include "libraries/events/forward_event.hpp"
#include "libraries/identity/request_id.hpp"
#include "plugins/forward/local_run.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace pistachiohub::forward
{

/// Maximum number of relayed attempts in the table. Further relays are ignored without a reply, so
/// that their owners are not told an outcome that could turn out to be wrong.
inline constexpr std::size_t max_relays = 100000;
/// Relays are refused while the stored answers to relayed attempts take more bytes than this.
inline constexpr std::size_t max_relay_answer_bytes = 32U << 20U;
/// How long the answer to a relayed attempt is stored, so that it can be sent again to an owner
/// that did not receive it.
inline constexpr kernel::duration relay_answer_retention = std::chrono::seconds(60);

/// Key of a relayed attempt: owner, incarnation, epoch, unique part of the id, attempt number. In
/// this order the expired attempts of an owner are a contiguous range of the map.
using relay_key = std::tuple<std::string, std::uint64_t, std::uint32_t, std::string, std::uint32_t>;

/// Record of one (request id, attempt number).
struct relay_run
{
    std::uint64_t sequence = 0;
    identity::request_id id;
    std::uint32_t attempt = 0;
    std::string service;
    std::uint64_t fingerprint = 0;
    kernel::monotonic_time deadline;
    /// Valid only if `is_dispatched`.
    local_run run;
    bool is_dispatched = false;
    /// True once `reply` is set. Its outcome may still change: from `unresolved` when the run ends
    /// late, and to `unresolved` when the answer expires.
    bool has_reply = false;
    messages::relay_reply reply;
    /// Time at which this record stands in `relay_table::timers`; `max()` if it has no timer.
    kernel::monotonic_time timer = kernel::monotonic_time::max();
    /// When the stored answer is dropped; `max()` if there is none.
    kernel::monotonic_time answer_expires_at = kernel::monotonic_time::max();
};

/// Newest known incarnation of an owner and its newest known epoch. The incarnation never
/// decreases, nor does the epoch within an incarnation.
struct known_owner
{
    std::uint64_t incarnation = 0;
    std::uint32_t epoch = 0;
};

/// All received relayed attempts.
struct relay_table
{
    std::map<relay_key, std::unique_ptr<relay_run>> runs;
    std::map<std::string, known_owner, std::less<>> owners;
    /// Timers of the attempts, ordered by time and then by `relay_run::sequence`.
    std::map<std::pair<kernel::monotonic_time, std::uint64_t>, relay_run*> timers;
    std::uint64_t next_sequence = 1;
    /// Total size of the stored answers in bytes.
    std::size_t answer_bytes = 0;
    /// Number of dispatched attempts whose run is pending.
    std::size_t open_runs = 0;
};

struct step;

/// Dispatches or refuses a relayed attempt. A duplicate gets the stored reply, if there is one.
/// @param sender the daemon that sent the message; it must own the request.
/// @param sender_incarnation incarnation of the sender.
void receive_relay(step& current,
                   messages::relay content,
                   std::string_view sender,
                   std::uint64_t sender_incarnation);

/// Sends the reply to a relayed attempt again, if there is one. If the attempt was not received
/// yet, replies `not_run` and records that it must not be dispatched when it arrives later.
void receive_relay_cancel(step& current,
                          messages::relay_cancel const& content,
                          std::string_view sender,
                          std::uint64_t sender_incarnation);

/// Applies the end of a dispatched run and replies to the owner.
void apply_relay_end(step& current,
                     relay_run& subject,
                     events::attempt_end end,
                     std::string answer);

/// Applies the backend server's reply to a cancellation request.
/// @param is_cancelled true if the server confirmed that the run will not be started.
void apply_relay_cancel_result(step& current, relay_run& subject, bool is_cancelled);

/// Processes the attempts whose timer is due: overdue runs and expired answers.
void apply_relay_timers(step& current);

/// Removes the records of ended attempts that belong to an earlier incarnation of their owner or
/// whose epoch is older than the retention. Later messages about them are recognised by their
/// incarnation, and ignored, or by their epoch, and answered `unresolved`.
void drop_expired_relays(step& current);

} // namespace pistachiohub::forward
