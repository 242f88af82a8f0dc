#include "plugins/peer/peer_links.hpp"

#include <utility>

namespace pistachiohub::peer
{

namespace
{

// A connection takes one round trip, at most about 50 ms between regions. Holding a message that
// long spares the first request to a peer a refusal.
constexpr auto first_connection_time = std::chrono::milliseconds(250);
constexpr std::size_t most_held = 16;
// At target size a daemon talks to few of its 8,000 peers at a time.
constexpr auto idle_time = std::chrono::seconds(60);

} // namespace

peer_links::peer_links(kernel::event_loop& loop, message_handler sent, message_handler unsent)
    : m_loop(loop)
    , m_sent(std::move(sent))
    , m_unsent(std::move(unsent))
{
}

void peer_links::send(std::string const& peer,
                      kernel::endpoint const& remote,
                      outgoing_message&& message)
{
    auto& used = m_links[peer];
    auto const now = kernel::monotonic_now();
    used.used_at = now;
    bool const is_same_address =
        used.remote.address == remote.address && used.remote.port == remote.port;
    if (!used.socket || !is_same_address || used.socket->was_lost())
    {
        give_up_held(used);
        used.remote = remote;
        dial(peer, used);
    }
    if (used.socket && used.socket->is_connected())
    {
        send_held(peer);
        return send_now(used, std::move(message));
    }
    bool const may_hold = used.socket && now < used.dialled_at + first_connection_time &&
                          used.held.size() < most_held;
    if (may_hold)
        used.held.push_back(std::move(message));
    else
        m_unsent(std::move(message));
}

void peer_links::check_times()
{
    auto const now = kernel::monotonic_now();
    for (auto entry = m_links.begin(); entry != m_links.end();)
    {
        auto& checked = entry->second;
        if (now >= checked.dialled_at + first_connection_time)
            give_up_held(checked);
        entry = now >= checked.used_at + idle_time ? m_links.erase(entry) : std::next(entry);
    }
}

std::size_t peer_links::size() const
{
    return m_links.size();
}

void peer_links::dial(std::string const& peer, link& dialled)
{
    dialled.socket.reset();
    dialled.dialled_at = kernel::monotonic_now();
    try
    {
        dialled.socket = std::make_unique<push_socket>(dialled.remote.address,
                                                       dialled.remote.port,
                                                       [this, peer]()
                                                       {
                                                           m_loop.post(
                                                               [this, peer]()
                                                               {
                                                                   send_held(peer);
                                                               });
                                                       });
    }
    catch (transport_error const&)
    {
        // The address is not usable; the message is reported as unsent.
        dialled.socket.reset();
    }
}

void peer_links::send_held(std::string const& peer)
{
    auto const found = m_links.find(peer);
    if (found == m_links.end() || !found->second.socket || !found->second.socket->is_connected())
        return;
    auto held = std::exchange(found->second.held, {});
    for (auto& message : held)
        send_now(found->second, std::move(message));
}

void peer_links::send_now(link& used, outgoing_message&& message)
{
    if (used.socket->send(message.bytes))
        m_sent(std::move(message));
    else
        m_unsent(std::move(message));
}

void peer_links::give_up_held(link& failed)
{
    auto held = std::exchange(failed.held, {});
    for (auto& message : held)
        m_unsent(std::move(message));
}

} // namespace pistachiohub::peer
