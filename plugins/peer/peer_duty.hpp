#pragma once

/// @file
/// The peer duty: messages between daemons.

#include "kernel/backlog.hpp"
#include "kernel/daemon_context.hpp"
#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "libraries/events/control_event.hpp"
#include "libraries/events/forward_event.hpp"
#include "libraries/events/peer_command.hpp"
#include "plugins/peer/nng_sockets.hpp"
#include "plugins/peer/peer_links.hpp"

#include <memory>
#include <optional>
#include <string_view>

namespace pistachiohub::peer
{

/// Runs the connections to other daemons.
class peer_duty final : public kernel::duty
{
public:
    /// @throws transport_error when the peer port cannot be listened on.
    explicit peer_duty(kernel::daemon_context& context);
    ~peer_duty() override;

    void run() override;
    void request_stop() override;

    /// @returns the port that is listened on.
    [[nodiscard]] std::uint16_t port() const;

private:
    struct readiness;

    void send(events::peer_command&& command);
    [[nodiscard]] std::optional<kernel::endpoint> find_address(std::string_view peer);
    void report_unsent(outgoing_message&& message);
    void wait_for_messages();
    void receive_all();
    void receive(std::span<std::byte const> bytes);
    void handle(messages::envelope&& message);
    void handle_document(messages::configuration_document const& document);
    void tell_control(events::control_event&& event);
    void tell_forward(events::forward_event&& event);
    void refuse(std::string_view cause);
    void count(std::string_view name, std::string_view label, std::string_view value);

    kernel::daemon_context& m_context;
    kernel::mailbox<events::peer_command>& m_commands;
    kernel::mailbox<events::control_event>& m_control;
    kernel::mailbox<events::forward_event>& m_forward;
    // Bounded by the commands under way.
    kernel::backlog<events::forward_event> m_unsent;
    kernel::snapshot_reader<view::world_view> m_world;
    kernel::event_loop m_loop;
    pull_socket m_pull;
    peer_links m_links;
    std::unique_ptr<readiness> m_readiness;
};

} // namespace pistachiohub::peer
