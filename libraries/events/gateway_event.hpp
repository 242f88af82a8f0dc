#pragma once

/// @file
/// Messages to the gateway duty.

#include "kernel/clock.hpp"
#include "libraries/fleet/backend_server.hpp"
#include "libraries/routing/route.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pistachiohub::events
{

/// A failure domain to whose backend servers nothing more may be sent.
struct evacuation
{
    std::string failure_domain;
};

/// One object of the store, as it was read.
template<class Record>
struct change
{
    std::string name;
    /// Version of the object; 0 when it was removed without one.
    std::uint64_t version = 0;
    /// Missing when the object was removed or cannot be read.
    std::optional<Record> record;
};

/// What a reader of the store has read.
enum class read_kind
{
    /// What changed since the last read.
    changes,
    /// All objects.
    list,
    /// All objects, for the first time since the store was restored from an older copy.
    restored_list
};

/// Objects of one kind that were read from the store.
template<class Record>
struct store_update
{
    /// Whether `changes` holds all objects of the kind.
    bool is_complete = false;
    std::uint64_t revision = 0;
    std::vector<change<Record>> changes;
    /// Whether this is the first complete list since the store was restored from an older copy.
    /// What was written lately may be missing until it is written again, and what was removed or
    /// replaced lately may be there.
    bool is_restored = false;
};

/// The store was lost or regained by one reader.
struct store_contact
{
    std::string kind;
    bool is_reachable = false;
};

/// The store has confirmed the configuration in force. Sent behind the changes of the same call, so
/// that it never overtakes one of them.
struct configuration_confirmed
{
    /// Begin of the call that confirmed it, by this daemon or by another one that told of it.
    kernel::boot_time begun_at;
};

/// A graceful shutdown began; wakes the gateway, which asks the kernel when it was.
struct drain_begun
{
};

/// What the gateway duty handles, in the order of arrival.
using gateway_event = std::variant<store_update<routing::routing_document>,
                                   store_update<fleet::backend_server>,
                                   store_update<evacuation>,
                                   store_update<fleet::entry_host>,
                                   store_contact,
                                   configuration_confirmed,
                                   drain_begun>;

} // namespace pistachiohub::events
