#pragma once

/// @file
/// Objects of the store and how calls end.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::object_store
{

/// How a call ended.
enum class status
{
    ok,
    /// A read: the object does not exist.
    missing,
    /// A write: the object has another version, so nothing was written.
    conflict,
    /// The store refused the call because of its rate; nothing was written.
    over_rate,
    /// The store cannot be reached or refused the call; nothing was written.
    outage,
    /// A write: no answer came, so the write may have taken effect, now or later.
    lost_answer,
    /// cancel() ended the call; a write may have taken effect.
    cancelled,
    /// A watch: the store no longer holds the changes since the given revision.
    history_gone
};

/// @returns the name used in logs and metric labels.
[[nodiscard]] std::string_view to_string(status value);

/// An object of the store.
struct object
{
    std::string name;
    std::uint64_t version = 0;
    /// JSON text.
    std::string value;
    /// JSON text of what observers report of the object beside its value; empty if there is none.
    std::string observed{};
    /// A change: the object was removed; its value is the last one, or empty.
    bool is_removed = false;
};

} // namespace pistachiohub::object_store
