#pragma once

/// @file
/// The front duty: answers lookups and hands requests to the forward duty.

#include "kernel/daemon_context.hpp"
#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "libraries/events/forward_event.hpp"
#include "libraries/events/front_reply.hpp"
#include "plugins/front/caller_server.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace pistachiohub::front
{

/// @returns the number of callers' connections that a process with so many descriptors may hold:
/// the rest is needed to serve them.
[[nodiscard]] std::size_t connections_within(std::size_t descriptors);

/// Runs the caller port.
class front_duty final : public kernel::duty
{
public:
    /// @throws listen_error when the caller port cannot be listened on.
    explicit front_duty(kernel::daemon_context& context, caller_server_limits const& limits = {});
    ~front_duty() override;

    void run() override;

    /// Stops when every answer at hand has been written.
    void request_stop() override;

    /// @returns the port that is listened on.
    [[nodiscard]] std::uint16_t port() const;

private:
    struct open_exchange
    {
        std::optional<identity::request_id> id;
        kernel::monotonic_time expires_at;
    };

    [[nodiscard]] std::optional<caller_answer>
    handle(std::uint64_t exchange, request_head const& head, std::string&& body);
    [[nodiscard]] std::optional<caller_answer>
    submit(std::uint64_t exchange, submission const& submitted, std::string&& body);
    [[nodiscard]] caller_answer refuse(refusal const& refused);
    void deliver(events::front_reply&& reply);
    void answer_expired();
    void stop_when_idle(kernel::monotonic_time give_up_at);
    void count(std::string_view name);

    kernel::daemon_context& m_context;
    kernel::mailbox<events::forward_event>& m_forward;
    kernel::mailbox<events::front_reply>& m_replies;
    kernel::snapshot_reader<view::world_view> m_world;
    std::unordered_map<std::uint64_t, open_exchange> m_exchanges;
    kernel::event_loop m_loop;
    caller_server m_server;
    kernel::counter m_lookups;
    // Callers use the first entry host, and each entry host has an equal share of the slots, so
    // successive lookups begin at different hosts.
    std::uint64_t m_spread = 0;
};

} // namespace pistachiohub::front
