#pragma once

/// @file
/// What this daemon has read of the store lately, for daemons that read it from here.

#include "kernel/clock.hpp"
#include "libraries/object_store/object_store.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace pistachiohub::discovery
{

/// The changes that one call of the store returned.
struct change_batch
{
    /// Revision of the store after the changes.
    std::uint64_t revision = 0;
    std::vector<object_store::object> objects;
};

/// What is known of one kind. A plain value without a clock.
struct kind_history
{
    /// Generation of the store in which the revisions count; 0 if it is unknown.
    std::uint64_t generation = 0;
    /// Changes since this revision are complete.
    std::uint64_t complete_since = 0;
    std::uint64_t revision = 0;
    std::deque<change_batch> batches;
    /// All changes until this time are known.
    kernel::boot_time confirmed_at;
    /// Whether this daemon reads the kind from the store itself. What it read from another daemon
    /// is not passed on, so that the age does not add up.
    bool is_direct = false;
};

/// Batches of one kind that are kept: minutes of changes.
inline constexpr std::size_t most_batches = 64;

/// Adds what a call returned.
/// @param is_complete whether all objects were listed, so that earlier changes are not known.
void record(kind_history& history, bool is_complete, object_store::list_result const& read);

/// What can be told to a daemon that knows the store up to a revision.
enum class history_state
{
    /// There are changes to tell.
    has_changes,
    /// No change is known, and what is known is new enough.
    is_current,
    /// What is known is too old, or was not read from the store itself.
    is_stale,
    /// The changes since that position are not known, or belong to a generation of the store that
    /// has ended.
    is_gone
};

/// @returns the name used in metric labels.
[[nodiscard]] std::string_view to_string(history_state value);

/// @param oldest what was confirmed before this time is too old.
[[nodiscard]] history_state state_since(kind_history const& history,
                                        object_store::position const& since,
                                        kernel::boot_time oldest);

/// @returns all changes since `revision`, in the order of the store.
[[nodiscard]] object_store::list_result changes_since(kind_history const& history,
                                                      std::uint64_t revision);

/// What a daemon that asks for changes is told.
struct history_answer
{
    history_state state = history_state::is_stale;
    /// Valid for `has_changes` and `is_current`, as is the next.
    object_store::list_result changes;
    /// All changes until this time are known.
    kernel::boot_time confirmed_at;
};

/// The histories of all kinds, shared by the feeds, which write them, and the relay.
class feed_histories
{
public:
    /// Notes a successful call.
    /// @param confirmed_at all changes until this time are known.
    void update(std::string_view kind,
                bool is_direct,
                bool is_complete,
                object_store::list_result const& read,
                kernel::boot_time confirmed_at);

    /// @returns state_since() and changes_since() of the kind; `is_stale` if it was never read.
    [[nodiscard]] history_answer answer(std::string_view kind,
                                        object_store::position const& since,
                                        kernel::boot_time oldest) const;

    /// Sets a callback that runs on a feed's thread after each update. An empty function removes
    /// it.
    void set_wake_up(std::function<void()> wake_up);

private:
    mutable std::mutex m_mutex;
    std::map<std::string, kind_history, std::less<>> m_histories;
    std::function<void()> m_wake_up;
};

} // namespace pistachiohub::discovery
