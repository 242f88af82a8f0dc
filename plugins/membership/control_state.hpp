#pragma once

/// @file
/// The control duty without clock, socket and thread.

#include "kernel/log.hpp"
#include "libraries/events/control_event.hpp"
#include "libraries/events/peer_command.hpp"
#include "plugins/config/acceptance.hpp"
#include "plugins/membership/host_lists.hpp"
#include "plugins/membership/members.hpp"
#include "plugins/membership/roles.hpp"
#include "plugins/membership/servers.hpp"
#include "plugins/membership/summaries.hpp"
#include "plugins/membership/view_builder.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pistachiohub::membership
{

/// Shortest time between two publications of the world view.
inline constexpr kernel::duration publish_interval = std::chrono::milliseconds(50);
/// Gap between two calls after which held states count as stale.
inline constexpr kernel::duration longest_gap = std::chrono::seconds(1);

/// Something worth a log line and a count.
struct notice
{
    /// Name of the event in logs and metrics.
    std::string_view event;
    std::string subject;
    std::string detail;
    /// Events that may come with every message are not logged above `debug`.
    kernel::log_level level = kernel::log_level::info;
};

/// Member states, backend server states and the configuration of one daemon.
class control_state
{
public:
    /// @param jitter number from 0 to 1, different for each daemon.
    control_state(kernel::settings own_settings,
                  std::uint64_t incarnation,
                  double jitter,
                  kernel::monotonic_time now);

    /// Handles one message.
    void handle(events::control_event&& event, kernel::monotonic_time now);

    /// Notices the passing of time; called at least every 100 ms.
    void tick(bool is_draining, kernel::monotonic_time now);

    /// @returns the next view if one is due, else null.
    [[nodiscard]] std::shared_ptr<view::world_view const> take_view(kernel::monotonic_time now);

    /// @returns the messages to send. They must be sent after the view of take_view() is published,
    /// because messages carry the published configuration version.
    [[nodiscard]] std::vector<events::peer_command> take_commands();

    /// @returns what has happened since the last call.
    [[nodiscard]] std::vector<notice> take_notices();

    /// @returns true if this daemon is to watch the store for its failure domain.
    [[nodiscard]] bool is_reader() const;

private:
    void on(events::peer_heard& heard, kernel::monotonic_time now);
    void on(events::configuration_wanted const& wanted, kernel::monotonic_time now);
    void on(events::configuration_received const& received, kernel::monotonic_time now);
    void on(events::host_list_received const& list, kernel::monotonic_time now);
    void on(events::host_list_polled const& poll, kernel::monotonic_time now);
    void on(events::host_list_wanted const& wanted, kernel::monotonic_time now);
    void on(events::host_list_told const& told, kernel::monotonic_time now);
    void on(events::backend_observation const& observation, kernel::monotonic_time now);
    void on(events::usage_report const& report, kernel::monotonic_time now);
    void on(events::epoch_fenced const& fenced, kernel::monotonic_time now);

    void apply_list(events::host_list_received const& list, kernel::monotonic_time now);
    void send_own_list(events::host_list_received const& list);
    void request_lists(std::string const& peer, std::uint64_t revision, kernel::monotonic_time now);
    [[nodiscard]] bool is_in_own_domain(std::string_view peer);
    void check_pause(kernel::monotonic_time now);
    void check_states(kernel::monotonic_time now);
    void check_role(kernel::monotonic_time now);
    void check_epoch(kernel::monotonic_time now);
    [[nodiscard]] bool raise_epoch(std::uint32_t epoch, kernel::monotonic_time now);
    void note_server_states(kernel::monotonic_time now);
    void forget_derived(kernel::monotonic_time now);
    void send_round(kernel::monotonic_time now);
    void publish_by(kernel::monotonic_time due);
    void note(std::string_view event,
              std::string subject,
              std::string detail = {},
              kernel::log_level level = kernel::log_level::info);
    [[nodiscard]] std::vector<std::string> find_sharing_hosts(kernel::monotonic_time now) const;
    [[nodiscard]] messages::heartbeat make_heartbeat(kernel::monotonic_time now);
    [[nodiscard]] bool may_be_queued(kernel::monotonic_time now) const;
    [[nodiscard]] bool has_fresh_usage(kernel::monotonic_time now) const;

    kernel::settings m_settings;
    std::uint64_t m_incarnation;
    double m_jitter;
    kernel::monotonic_time m_started_at;
    kernel::monotonic_time m_active_since;
    kernel::monotonic_time m_last_call;
    /// The higher one of the minutes since the start and the epoch after the newest fenced one; it
    /// never decreases.
    std::uint32_t m_epoch = 0;
    bool m_is_draining = false;
    bool m_is_reader = false;

    config::held_configuration m_held;
    config::request_times m_request_times;
    held_host_lists m_host_lists;
    /// False until the first poll in the present role, and after a failed one.
    bool m_is_watch_working = false;
    member_table m_members;
    server_table m_servers;
    silence_limits m_limits;
    std::vector<std::string> m_sharing_hosts;
    derived_tables m_derived;

    turn_cursors m_turns;
    summary_cursors m_summary_turns;
    std::uint64_t m_round = 0;
    std::optional<kernel::monotonic_time> m_last_round;
    std::optional<kernel::monotonic_time> m_last_check;
    events::usage_report m_usage;
    std::optional<kernel::monotonic_time> m_usage_at;

    std::optional<kernel::monotonic_time> m_publish_due;
    std::optional<kernel::monotonic_time> m_published_at;
    bool m_has_new_configuration = false;
    std::vector<events::peer_command> m_commands;
    std::vector<notice> m_notices;
};

} // namespace pistachiohub::membership
