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
    /// The store does not hold the changes since the given position, or was restored from an older
    /// copy during the call.
    history_gone
};

/// @returns the name used in logs and metric labels.
[[nodiscard]] std::string_view to_string(status value);

/// A state of the store. A store that was restored from an older copy begins another generation, in
/// which it gives out again the revisions after that copy; so a revision names a state only
/// together with its generation.
struct position
{
    /// 0 if the store does not name its generation.
    std::uint64_t generation = 0;
    std::uint64_t revision = 0;

    friend bool operator==(position const&, position const&) = default;
};

/// @returns whether two generations are known to differ.
[[nodiscard]] constexpr bool is_other_generation(std::uint64_t one, std::uint64_t other)
{
    return one != 0 && other != 0 && one != other;
}

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
