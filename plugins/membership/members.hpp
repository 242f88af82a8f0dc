#pragma once

/// @file
/// What this daemon knows of entry hosts, from heartbeats, forwarded summaries and the host list.

#include "kernel/clock.hpp"
#include "kernel/settings.hpp"
#include "libraries/events/control_event.hpp"
#include "libraries/messages/peer_message.hpp"
#include "libraries/view/world_view.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pistachiohub::membership
{

/// Time for which the credits of a heartbeat are valid after its receipt.
inline constexpr kernel::duration credit_time = std::chrono::seconds(1);
/// How long a restart or a drain is forwarded ahead of other summaries.
inline constexpr kernel::duration news_time = std::chrono::seconds(10);

/// One entry host.
struct member
{
    std::string name;
    std::string failure_domain;
    std::string address;
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t epoch = 0;
    std::uint64_t configuration_version = 0;
    std::vector<messages::service_credit> credits;
    kernel::monotonic_time credits_expire_at;
    /// Newest time at which the host is known to have been alive.
    kernel::monotonic_time heard_at;
    /// Since when the host could have been heard: first mention, or the end of a pause.
    kernel::monotonic_time known_since;
    /// When its incarnation or leaving state last changed.
    kernel::monotonic_time changed_at;
    bool is_heard = false;
    /// Its heartbeat said that it is leaving; holds until its next incarnation.
    bool is_leaving = false;
    bool is_listed = false;
    bool is_seed = false;
    bool is_listed_leaving = false;
    /// Incarnation known when the host list first said that the host is leaving.
    std::uint64_t leaving_incarnation = 0;
    /// As last published.
    view::member_state state = view::member_state::silent;
};

/// All entry hosts but this daemon's own, in the order of their first mention.
struct member_table
{
    std::string own_name;
    std::vector<member> members;
    std::unordered_map<std::string, std::size_t> positions;
};

/// What a message changed, by how soon it must be published.
enum class change
{
    none,
    /// Only an epoch or a configuration version.
    minor,
    /// Credits, an incarnation or a state.
    major
};

/// @returns the member called `name`, or null.
[[nodiscard]] member* find_member(member_table& table, std::string_view name);

/// Adds the seed peers, which are known before the host list comes.
void add_seeds(member_table& table,
               std::vector<kernel::seed_peer> const& seeds,
               kernel::monotonic_time now);

/// Applies the host list of one failure domain.
void apply_host_list(member_table& table,
                     events::host_list_received const& list,
                     kernel::monotonic_time now);

/// Applies a message heard from another daemon. Older incarnations are ignored.
[[nodiscard]] change
apply_heard(member_table& table, events::peer_heard const& heard, kernel::monotonic_time now);

/// Applies what another daemon forwarded about a host.
[[nodiscard]] change apply_summary(member_table& table,
                                   messages::member_summary const& summary,
                                   kernel::monotonic_time now);

/// Forgets credits and states after a pause of this daemon, which made them stale.
void drop_states(member_table& table, kernel::monotonic_time now);

/// Removes members that neither the host list nor the seeds name and that are silent.
/// @returns true if any was removed, which changes positions.
bool remove_unlisted(member_table& table);

} // namespace pistachiohub::membership
