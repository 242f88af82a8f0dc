#pragma once

/// @file
/// Where the next read of a feed goes, and how long it may take.

#include "kernel/clock.hpp"
#include "plugins/discovery/rhythm.hpp"

#include <chrono>
#include <optional>

namespace pistachiohub::discovery
{

/// What a feed knows of its own reads. A plain value without a clock.
struct feed_progress
{
    /// All changes until this time are known. Meaningless before the first list.
    kernel::boot_time known_until;
    /// How long the latest complete list took. The store may have forgotten its history when it is
    /// asked for changes, and then everything must be listed within the bound.
    std::chrono::milliseconds list_time{0};
    /// Another daemon is not asked before this time, because it failed.
    kernel::boot_time relay_avoided_until;
    /// Whether another daemon had a gap since its latest answer.
    bool had_relay_gap = false;
    /// Whether all objects were listed, so that changes can be asked for.
    bool has_list = false;
    /// Whether changes may have been missed, so that the store must be asked without waiting.
    bool must_catch_up = false;
    /// Whether the latest answer came from another daemon, so that the connection to the store has
    /// been idle since.
    bool reads_relay = false;
};

/// From where changes are read.
enum class read_source
{
    store,
    relay
};

/// The next read of a feed.
struct planned_read
{
    read_source source = read_source::store;
    /// How long the watch waits for a change.
    std::chrono::milliseconds wait{0};
    /// Whether the store is asked on a new connection, because an idle one may be silent by now.
    bool reconnects = false;
};

/// The connection to the daemon that is to be asked.
enum class relay_connection
{
    /// The hosts were not listed yet, so no daemon is chosen. The store is read.
    undecided,
    /// This daemon is to read the store itself.
    none,
    /// A daemon is chosen, and must be connected to first.
    closed,
    open
};

/// Decides on the next read. Another daemon is asked only if there is time enough to ask the store
/// when the answer does not come, so that the age of what is known stays within the bound whatever
/// that daemon does. The connection, the wait and the answer are counted.
[[nodiscard]] planned_read plan_read(feed_progress const& progress,
                                     feed_rhythm const& rhythm,
                                     relay_connection relay,
                                     kernel::boot_time now);

/// Decides on the next read while the store must not be called. Another daemon is asked whatever
/// time is left: nothing is lost if it does not answer.
/// @returns nothing if no daemon can be asked.
[[nodiscard]] std::optional<planned_read> plan_read_without_store(feed_progress const& progress,
                                                                  feed_rhythm const& rhythm,
                                                                  relay_connection relay,
                                                                  kernel::boot_time now);

/// @param asked_at begin of the call of the store that has ended.
/// @returns when the next read is due. Only calls of the store are spaced: another daemon is asked
/// as soon as possible, since there is less time left for it as the knowledge ages. While none is
/// chosen, a short pause saves calls of a daemon that starts.
[[nodiscard]] kernel::boot_time next_read_at(feed_progress const& progress,
                                             feed_rhythm const& rhythm,
                                             relay_connection relay,
                                             kernel::boot_time asked_at);

/// Notes an answer of another daemon.
/// @param confirmed_at all changes until this time are known.
void note_relay_answer(feed_progress& progress, kernel::boot_time confirmed_at);

/// Notes that another daemon failed, or has nothing to tell.
void note_relay_failure(feed_progress& progress, kernel::boot_time now);

/// Notes that another daemon does not know all changes since the position of this one. It has
/// started later than this one, or reads another generation of the store. In the first case it can
/// tell the changes after one call of the store.
void note_relay_gap(feed_progress& progress, kernel::boot_time now);

/// Notes a call of the store that failed. The next one does not wait for a change, since its answer
/// ends the outage.
void note_store_failure(feed_progress& progress);

/// Notes an answer of the store.
/// @param is_list whether all objects were listed.
/// @param asked_at begin of the call.
void note_store_answer(feed_progress& progress,
                       bool is_list,
                       kernel::boot_time asked_at,
                       kernel::boot_time now);

} // namespace pistachiohub::discovery
