#pragma once

/// @file
/// States of the backend servers of the own failure domain.

#include "kernel/clock.hpp"
#include "libraries/events/control_event.hpp"
#include "libraries/view/world_view.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pistachiohub::membership
{

/// Failed connections in a row after which a server counts as silent.
inline constexpr std::uint32_t failures_to_silence = 2;
/// How long a server that left the host list stays in the view as leaving, so that requests in
/// flight on it keep their place.
inline constexpr kernel::duration removal_delay = std::chrono::seconds(60);

/// Shortest time between the last sign of leaving and the observation that ends it. An answer that
/// was sent before the server began to leave may arrive after the probe that noticed it.
inline constexpr kernel::duration return_delay = std::chrono::seconds(1);

/// One backend server.
struct server_record
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::string service;
    view::member_state state = view::member_state::live;
    /// State that was last logged.
    view::member_state noted_state = view::member_state::live;
    kernel::monotonic_time live_since;
    double reported_load = -1;
    kernel::monotonic_time reported_at;
    bool is_listed_leaving = false;
    /// Set while the host list does not name the server.
    std::optional<kernel::monotonic_time> unlisted_since;
    /// Newest observation of an answer or a probe.
    kernel::monotonic_time observed_at;
    bool is_observed_leaving = false;
    std::uint32_t failed_connections = 0;
    /// When the server was last seen leaving; it returns only after a later observation.
    std::optional<kernel::monotonic_time> left_at;
};

/// All backend servers of the own failure domain.
struct server_table
{
    std::vector<server_record> servers;
    std::unordered_map<std::string, std::size_t> positions;
    /// False until the first host list: servers in it are not new, only this daemon is.
    bool has_list = false;
};

/// What an event changed.
enum class server_change
{
    none,
    load,
    state
};

/// Applies the own failure domain's host list.
[[nodiscard]] server_change
apply_server_list(server_table& table,
                  std::vector<events::listed_backend_server> const& list,
                  kernel::monotonic_time now);

/// Applies what an answer or a probe said. Observations older than the newest are ignored.
[[nodiscard]] server_change apply_observation(server_table& table,
                                              events::backend_observation const& observation,
                                              kernel::monotonic_time now);

/// Removes servers that the host list has not named for `removal_delay`.
/// @returns true if any was removed.
[[nodiscard]] bool remove_unlisted_servers(server_table& table, kernel::monotonic_time now);

} // namespace pistachiohub::membership
