#pragma once

/// @file
/// The backend servers that this daemon knows, with what it has seen of each.

#include "kernel/clock.hpp"
#include "libraries/events/gateway_event.hpp"
#include "libraries/fleet/backend_server.hpp"
#include "libraries/routing/routing_table.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pistachiohub::gateway
{

/// How far a backend server is from this daemon.
enum class distance
{
    same_domain,
    same_region,
    other_region
};

/// What a backend server said of its load, to this daemon or to another one that told it.
struct load_report
{
    /// Running and waiting requests of other daemons.
    double others = 0;
    /// Those of all daemons.
    std::uint32_t total = 0;
    /// When the server said it.
    kernel::monotonic_time at;
    /// When this daemon heard of it.
    kernel::monotonic_time learned_at;
    /// Whether this daemon had it from the server.
    bool is_own = false;
};

/// One incarnation of a backend server. Only the gateway's thread changes it.
struct known_server
{
    fleet::backend_server record;
    /// Hash of its id.
    std::uint64_t hash = 0;
    /// Version of the store's object.
    std::uint64_t version = 0;
    distance how_far = distance::other_region;
    std::string region;
    kernel::monotonic_time cold_until;
    /// No further request may be sent.
    bool is_gone = false;
    /// Since when it is missing from the store, while that is not yet taken as gone.
    std::optional<kernel::monotonic_time> missing_since;
    /// Requests of this daemon that it has not answered.
    std::uint32_t own_running = 0;
    /// Requests that wait in this daemon for a slot there.
    std::uint32_t own_waiting = 0;
    load_report report;
    /// It refused or failed, and is not chosen before this time.
    kernel::monotonic_time avoided_until;
    std::uint32_t failures_in_row = 0;
    /// Whether it is being looked whether anything listens at its address.
    bool is_checked = false;
    /// Second of the monotonic clock and requests sent in it while cold.
    std::int64_t cold_second = 0;
    double cold_sent = 0;
};

using server_pointer = std::shared_ptr<known_server>;

/// All known backend servers of the deployment.
struct server_table
{
    /// Failure domain of this daemon.
    std::string own_domain;
    std::string own_region;
    std::map<std::string, std::string, std::less<>> region_of_domain;

    /// Silence after which the registration of a server lapses.
    std::chrono::milliseconds entry_lapse{4500};

    routing::text_map<server_pointer> servers;
    routing::text_map<std::vector<server_pointer>> by_service;
    std::unordered_map<std::uint64_t, server_pointer> by_hash;
    std::set<std::string, std::less<>> evacuated_domains;
    /// When the store answered again after it had been lost.
    std::optional<kernel::monotonic_time> store_regained_at;
    bool has_list = false;
};

/// Time after the store's return in which entries that lapsed while it was away come back.
inline constexpr auto lapsed_entry_grace = std::chrono::milliseconds(2200);

/// Ids of backend servers that are new, and of those that are gone or leaving since.
struct table_change
{
    std::vector<std::string> added;
    std::vector<std::string> lost;
};

/// Applies what was read from the store. A backend server that starts again under its id is a new
/// one, of which nothing is known.
table_change apply(server_table& table,
                   events::store_update<fleet::backend_server> const& update,
                   kernel::monotonic_time now);

/// Notes that the store was lost or regained.
void apply_contact(server_table& table, bool is_reachable, kernel::monotonic_time now);

/// Applies the evacuations that were read from the store.
void apply(server_table& table, events::store_update<events::evacuation> const& update);

/// Takes servers as gone whose grace after the store's return has passed.
/// @returns their ids.
std::vector<std::string> expire_missing(server_table& table, kernel::monotonic_time now);

/// @returns the servers of a service, usable or not.
[[nodiscard]] std::span<server_pointer const> servers_of(server_table const& table,
                                                         std::string_view service);

/// @returns whether requests may be sent to the server at all.
[[nodiscard]] bool is_usable(server_table const& table, known_server const& server);

/// @returns the estimated running and waiting requests of a server, of all daemons. What others
/// have there decays with the age of the report.
[[nodiscard]] double estimated_load(known_server const& server, kernel::monotonic_time now);

/// @returns whether a further request would find a free slot, or a place in a queue of the server
/// that is not longer.
/// @param queue_per_slot requests that may wait at the server for each of its slots.
[[nodiscard]] bool
has_room(known_server const& server, kernel::monotonic_time now, double queue_per_slot = 0);

/// @returns the time in seconds until a further request of this daemon would find a free slot.
/// @param run_seconds time for which a request takes a slot.
[[nodiscard]] double
expected_wait_seconds(known_server const& server, double run_seconds, kernel::monotonic_time now);

/// Notes the load that an answer of the server reports.
/// @param total running and waiting requests, without the answered one.
void record_load(known_server& server, double total, kernel::monotonic_time now);

/// Notes the load that the server reported to another daemon at the time `at`.
void record_shared_load(known_server& server,
                        std::uint32_t total,
                        kernel::monotonic_time at,
                        kernel::monotonic_time now);

/// How a send to a server failed.
enum class server_failure
{
    /// It refused the request or broke off.
    request_failed,
    /// No connection came up.
    unreachable,
    /// Another process answers at its address.
    replaced
};

/// Notes that a send to the server failed. It is avoided for a time that depends on the failure.
void record_failure(server_table const& table,
                    known_server& server,
                    server_failure cause,
                    kernel::monotonic_time now);

/// Notes an answer of the server.
void record_success(known_server& server);

} // namespace pistachiohub::gateway
