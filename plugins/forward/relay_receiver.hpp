#pragma once

/// @file
/// The receiver's side of relayed attempts: each (id, attempt) is dispatched at most once.

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

/// Most relayed attempts remembered. Relays beyond it are ignored, so that their owners learn
/// nothing false.
inline constexpr std::size_t most_relays = 100000;
/// Most bytes of kept answers to relayed attempts; relays beyond it are refused.
inline constexpr std::size_t most_relay_answer_bytes = 32U << 20U;
/// How long the answer to a relayed attempt is kept for an owner that did not receive it.
inline constexpr kernel::duration relay_answer_time = std::chrono::seconds(60);

/// Orders relayed attempts by owner, incarnation and epoch, so that old ones form a range:
/// owner, incarnation, epoch, unique part, attempt.
using relay_key = std::tuple<std::string, std::uint64_t, std::uint32_t, std::string, std::uint32_t>;

/// What is known of one (id, attempt).
struct relay_run
{
    std::uint64_t sequence = 0;
    identity::request_id id;
    std::uint32_t attempt = 0;
    std::string service;
    std::uint64_t fingerprint = 0;
    kernel::monotonic_time deadline;
    /// Meaningful once `is_dispatched`.
    local_run run;
    bool is_dispatched = false;
    /// True once `reply` is known; it may still change from `unresolved` to another outcome.
    bool has_reply = false;
    messages::relay_reply reply;
    /// Time of the entry in the table's timers; `max()` when there is none.
    kernel::monotonic_time timer = kernel::monotonic_time::max();
    kernel::monotonic_time drop_answer_at = kernel::monotonic_time::max();
};

/// The newest incarnation and epoch seen of an owner; they never decrease.
struct known_owner
{
    std::uint64_t incarnation = 0;
    std::uint32_t epoch = 0;
};

/// All relayed attempts received.
struct relay_table
{
    std::map<relay_key, std::unique_ptr<relay_run>> runs;
    std::map<std::string, known_owner, std::less<>> owners;
    /// Attempts that need attention at a time; the second part of the key is the sequence.
    std::map<std::pair<kernel::monotonic_time, std::uint64_t>, relay_run*> timers;
    std::uint64_t next_sequence = 1;
    std::size_t answer_bytes = 0;
    /// Dispatched attempts that may still run.
    std::size_t open_runs = 0;
};

struct step;

/// Dispatches or refuses a relayed attempt.
void receive_relay(step& current,
                   messages::relay content,
                   std::string_view sender,
                   std::uint64_t sender_incarnation);

/// Repeats the reply to a relayed attempt, or forbids its start if it was not received yet.
void receive_relay_cancel(step& current,
                          messages::relay_cancel const& content,
                          std::string_view sender,
                          std::uint64_t sender_incarnation);

/// Applies the result of a dispatched run.
void apply_relay_end(step& current,
                     relay_run& subject,
                     events::attempt_end end,
                     std::string answer);

/// Applies the result of a cancellation.
void apply_relay_cancel_result(step& current, relay_run& subject, bool is_cancelled);

/// Applies the passing of time.
void apply_relay_timers(step& current);

/// Drops attempts whose ids have left their owner's retention, so that they are refused by epoch.
void drop_old_relays(step& current);

} // namespace pistachiohub::forward
