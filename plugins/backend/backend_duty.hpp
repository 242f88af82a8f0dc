#pragma once

/// @file
/// The backend duty: holds the connections to backend servers.

#include "kernel/backlog.hpp"
#include "kernel/daemon_context.hpp"
#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "plugins/backend/backend_client.hpp"

namespace pistachiohub::backend
{

/// Runs the client of the backend servers.
class backend_duty final : public kernel::duty
{
public:
    explicit backend_duty(kernel::daemon_context& context, backend_client_times const& times = {});
    ~backend_duty() override;

    void run() override;
    void request_stop() override;

private:
    void handle(events::backend_command&& command);
    void update_limits();
    void probe();

    kernel::daemon_context& m_context;
    kernel::mailbox<events::backend_command>& m_commands;
    kernel::mailbox<events::control_event>& m_control;
    // Bounded by the attempts under way.
    kernel::backlog<events::forward_event> m_results;
    kernel::snapshot_reader<view::world_view> m_world;
    kernel::event_loop m_loop;
    backend_client m_client;
    kernel::monotonic_time m_limits_expire_at;
};

} // namespace pistachiohub::backend
