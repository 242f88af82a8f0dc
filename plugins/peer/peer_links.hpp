#pragma once

/// @file
/// The connections to other daemons, dialled on first use.

#include "kernel/clock.hpp"
#include "kernel/event_loop.hpp"
#include "kernel/settings.hpp"
#include "libraries/events/forward_event.hpp"
#include "plugins/peer/nng_sockets.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pistachiohub::peer
{

/// An encoded message on its way to one peer.
struct outgoing_message
{
    std::vector<std::byte> bytes;
    std::string_view kind;
    /// What is reported to the forward duty when the message is not sent; nothing for most kinds.
    std::optional<events::peer_unsent> report;
};

/// Used on one thread, that of its loop.
class peer_links
{
public:
    using message_handler = std::function<void(outgoing_message&&)>;

    /// @param sent takes each message that was handed to the network.
    /// @param unsent takes each message of which no byte was sent.
    peer_links(kernel::event_loop& loop, message_handler sent, message_handler unsent);

    /// Sends a message. While a first connection is being made it is held for a short time.
    /// @param remote where the peer listens now; another address than before replaces the link.
    void send(std::string const& peer, kernel::endpoint const& remote, outgoing_message&& message);

    /// Gives up held messages whose time is over and closes links without use; called often.
    void check_times();

    /// @returns the number of links.
    [[nodiscard]] std::size_t size() const;

private:
    struct link
    {
        kernel::endpoint remote;
        std::unique_ptr<push_socket> socket;
        kernel::monotonic_time dialled_at;
        kernel::monotonic_time used_at;
        std::deque<outgoing_message> held;
    };

    void dial(std::string const& peer, link& dialled);
    void send_held(std::string const& peer);
    void send_now(link& used, outgoing_message&& message);
    void give_up_held(link& failed);

    kernel::event_loop& m_loop;
    message_handler m_sent;
    message_handler m_unsent;
    std::unordered_map<std::string, link> m_links;
};

} // namespace pistachiohub::peer
