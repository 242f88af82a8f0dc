#pragma once

/// @file
/// The backend servers that this daemon knows, with the load and failures observed for each.

#include "kernel/clock.hpp"
#include "libraries/events/gateway_event.hpp"
#include "libraries/fleet/backend_server.hpp"
#include "libraries/routing/routing_table.hpp"
#include "plugins/gateway/rate_limit.hpp"
#include "plugins/gateway/server_load.hpp"
#include "plugins/placement/server_weight.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
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

/// The load that a backend server reported to this daemon, or to another daemon that shared it.
struct load_report
{
    /// Running and waiting requests of the other daemons.
    double other_requests = 0;
    /// What the server reported of all daemons.
    server_load total;
    /// When the server sent the report.
    kernel::monotonic_time sent_at;
    /// When this daemon received the report.
    kernel::monotonic_time received_at;
    /// Whether this daemon received the report from the server itself.
    bool is_direct = false;
};

/// One incarnation of a backend server. Modified only on the gateway's thread.
struct known_server
{
    fleet::backend_server record;
    /// Hash of the server's id.
    std::uint64_t hash = 0;
    /// Order in which the servers were added to the table, starting at 1.
    std::uint64_t added_number = 0;
    /// Version of the registration object in the store.
    std::uint64_t version = 0;
    distance proximity = distance::other_region;
    std::string region;
    kernel::monotonic_time cold_until;
    /// Set when the server was removed from the table; no further request may be sent to it.
    bool is_removed = false;
    /// Whether the server said in an answer that it leaves. No registration of the same incarnation
    /// takes that back.
    bool has_announced_leaving = false;
    /// When the registration went missing from the store, until the server is removed or the
    /// registration returns.
    std::optional<kernel::monotonic_time> missing_since;
    /// Requests that this daemon sent and the server has not answered.
    std::uint32_t own_in_flight = 0;
    /// Requests that are queued in this daemon for a slot of the server.
    std::uint32_t own_queued = 0;
    /// Bytes of uploads among the requests in flight.
    std::size_t upload_bytes = 0;
    load_report report;
    /// The server is not chosen before this time, because it refused a request or failed.
    kernel::monotonic_time backoff_until;
    std::uint32_t consecutive_failures = 0;
    /// The server wants no request of this host before this time.
    kernel::monotonic_time paused_until;
    /// Whether a probe of the server's address is in progress, which shows if anything listens
    /// there.
    bool is_probe_pending = false;
    /// Whether a connection to the server broke while the probe was in progress. The probe may have
    /// reached the server before.
    bool has_broken_during_probe = false;
    /// Second of the monotonic clock in which `cold_sent` requests were sent to the cold server.
    std::int64_t cold_second = 0;
    double cold_sent = 0;
    /// Weight for the placement of objects; used with the placement rule `stable` only.
    placement::server_weight weight;
    /// Missing unless the server names a limit.
    std::optional<rate_limit> limit;
    /// Whether an unreadable notice of the server was logged.
    bool is_malformed_notice_logged = false;
};

using server_pointer = std::shared_ptr<known_server>;

/// All known backend servers of the deployment.
struct server_table
{
    /// Failure domain of this daemon.
    std::string own_domain;
    std::string own_region;
    std::map<std::string, std::string, std::less<>> region_of_domain;

    /// Time after its last renewal at which the registration of a server expires.
    std::chrono::milliseconds registration_ttl{4500};

    routing::text_map<server_pointer> servers;
    routing::text_map<std::vector<server_pointer>> by_service;
    std::unordered_map<std::uint64_t, server_pointer> by_hash;
    /// Evacuated domains. One that was missing in the list of a restored store ends at the given
    /// time, unless it is written again.
    std::map<std::string, std::optional<kernel::monotonic_time>, std::less<>> evacuated_domains;
    /// Servers that were removed, the oldest first. The registration of a server that lost the
    /// store lapses and returns while the server runs on, and a store that was restored from an
    /// older copy lists servers that are gone.
    std::deque<server_pointer> removed_servers;
    /// When the store became reachable again after an outage.
    std::optional<kernel::monotonic_time> store_recovered_at;
    /// Number of servers that were ever added.
    std::uint64_t added_count = 0;
    /// Whether a complete list of the registered servers has been read.
    bool is_loaded = false;
};

/// Maximum number of removed servers that are remembered.
inline constexpr std::size_t max_removed_servers = 1024;

/// Time after a store outage within which servers renew registrations that expired during it.
inline constexpr auto expired_entry_grace = std::chrono::milliseconds(2200);

/// Time within which an evacuation is written again that the store lost when it was restored from
/// an older copy.
inline constexpr auto restored_evacuation_grace = std::chrono::seconds(5);

/// Ids of the backend servers that an update added, and of those that it removed or marked as
/// leaving.
struct table_change
{
    std::vector<std::string> added;
    std::vector<std::string> removed_or_leaving;
};

/// Applies changes that were read from the store. A backend server that restarts under its id is
/// added as a new server without load or failure history. Older reports of a known incarnation are
/// ignored, and one that leaves does not become ready again.
table_change apply(server_table& table,
                   events::store_update<fleet::backend_server> const& update,
                   kernel::monotonic_time now);

/// Records that the store became reachable or unreachable.
void apply_store_state(server_table& table, bool is_reachable, kernel::monotonic_time now);

/// Applies changes to the evacuated failure domains that were read from the store.
void apply(server_table& table,
           events::store_update<events::evacuation> const& update,
           kernel::monotonic_time now);

/// Ends the evacuations that a restored store has lost and that were not written again in time.
/// @returns the failure domains.
std::vector<std::string> end_lost_evacuations(server_table& table, kernel::monotonic_time now);

/// Removes the servers that are still missing when the grace period after a store outage has ended.
/// @returns the ids of the removed servers.
std::vector<std::string> remove_expired(server_table& table, kernel::monotonic_time now);

/// @returns the servers of a service, usable or not.
[[nodiscard]] std::span<server_pointer const> servers_of(server_table const& table,
                                                         std::string_view service);

/// Records that the server said in an answer that it leaves. It may have been removed, and even
/// been added again, since the request was sent.
/// @returns whether that is news.
bool record_leaving(server_table& table, server_pointer const& server);

/// @returns whether requests may be sent to the server: it has not been removed, is not leaving and
/// is not in an evacuated failure domain.
[[nodiscard]] bool is_usable(server_table const& table, known_server const& server);

/// @returns whether a request may be sent to the server now: it is not avoided after a failure,
/// wants no pause, and its limit permits a request of this daemon.
[[nodiscard]] bool is_open(known_server const& server, kernel::monotonic_time now);

/// @returns the slots that can be used within the limit that the server names.
/// @param run_seconds time in seconds for which a request occupies a slot.
[[nodiscard]] double usable_slots(known_server const& server, double run_seconds);

/// @returns the estimated number of running and waiting requests of all daemons at a server. The
/// share of other daemons decays with the age of the report.
[[nodiscard]] double estimated_load(known_server const& server, kernel::monotonic_time now);

/// @returns whether the server can take a further request, in a free slot or in its queue.
/// @param queue_per_slot number of requests that may wait at the server for each of its slots.
[[nodiscard]] bool
has_capacity(known_server const& server, kernel::monotonic_time now, double queue_per_slot = 0);

/// @returns when a further request of this daemon is expected to start and to finish at the server.
/// @param run_seconds usual time in seconds for which a request occupies a slot.
/// @param queued requests of this daemon that wait for a slot of the server and are ahead.
[[nodiscard]] finish_estimate expected_finish(known_server const& server,
                                              double run_seconds,
                                              double queued,
                                              kernel::monotonic_time now);

/// Records the load that the server reported in an answer to this daemon.
void record_load(known_server& server, server_load const& total, kernel::monotonic_time now);

/// Records the load that the server reported to another daemon at the time `at`.
void record_shared_load(known_server& server,
                        server_load const& total,
                        kernel::monotonic_time at,
                        kernel::monotonic_time now);

/// The way in which sending a request to a server failed.
enum class server_failure
{
    /// The server refused the request or closed the connection before it had answered.
    request_failed,
    /// No connection could be established.
    unreachable,
    /// Another process answers at the server's address.
    replaced,
    /// The process has ended: nothing listens at the server's address any more.
    crashed
};

/// Records that sending a request to the server failed, and sets its backoff time according to the
/// cause and the number of consecutive failures.
void record_failure(server_table const& table,
                    known_server& server,
                    server_failure cause,
                    kernel::monotonic_time now);

/// Records that the server answered, which resets its failure count.
void record_success(known_server& server);

} // namespace pistachiohub::gateway
