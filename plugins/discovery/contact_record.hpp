#pragma once

/// @file
/// What the reader of a kind knows of its contact with the store.

#include "kernel/clock.hpp"

#include <algorithm>

namespace pistachiohub::discovery
{

/// The contact of one reader with the store, by itself or through another daemon. Whether the store
/// is away is judged here only; the tables of the gateway are told the result. It is judged for
/// each kind, since reports that cannot be read say nothing about their writers, even when other
/// kinds can be read. A plain value without a clock.
struct contact_record
{
    /// Begin of the latest call that the store answered.
    kernel::boot_time answered_at;
    /// Begin of the latest call of this daemon that failed.
    kernel::boot_time failed_at;
};

/// Notes a call that the store answered, or an answer of another daemon.
/// @param begun_at begin of the call; earlier than the answer of another daemon by its age.
inline void note_answer(contact_record& record, kernel::boot_time begun_at)
{
    record.answered_at = std::max(record.answered_at, begun_at);
}

/// Notes a call of this daemon that failed.
inline void note_failure(contact_record& record, kernel::boot_time begun_at)
{
    record.failed_at = std::max(record.failed_at, begun_at);
}

/// @returns whether the latest call failed. An answer that another daemon had before does not count
/// against a failure after it: that daemon may be cut off, too, and tell what it knew.
[[nodiscard]] inline bool is_store_away(contact_record const& record)
{
    return record.failed_at > record.answered_at;
}

} // namespace pistachiohub::discovery
