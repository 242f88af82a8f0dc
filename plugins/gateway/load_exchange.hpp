#pragma once

/// @file
/// Exchanges the loads of backend servers with the daemons that share a reader of the store.

#include "kernel/endpoint.hpp"
#include "kernel/event_loop.hpp"
#include "kernel/metrics.hpp"
#include "plugins/gateway/load_report.hpp"
#include "plugins/gateway/quota_exchange.hpp"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::gateway
{

/// Sends the loads that backend servers report to this daemon to its reader. The reader sends all
/// loads that it has to its followers, the daemons that have recently sent it a datagram. Lost
/// datagrams are not repeated, because a load is only a hint and newer ones follow. Runs on the
/// gateway's thread.
class load_exchange
{
public:
    /// @param own address of the socket; port 0 selects a free port.
    /// @param table must outlive the exchange.
    load_exchange(kernel::event_loop& loop,
                  kernel::metrics& metrics,
                  kernel::endpoint const& own,
                  server_table& table);

    /// @returns the address of the socket.
    [[nodiscard]] kernel::endpoint address() const;

    /// Sets the daemon to which the loads are sent. All loads that are not outdated are sent again.
    /// @param reader address of the reader; with port 0 this daemon itself is the reader.
    void set_reader(kernel::endpoint const& reader, kernel::monotonic_time now);

    /// Exchanges quotas too.
    /// @param quotas must outlive the exchange.
    void share_quotas(quota_exchange& quotas)
    {
        m_quotas = &quotas;
    }

private:
    using endpoint = boost::asio::ip::udp::endpoint;

    void receive();
    void handle_datagram(std::string_view datagram, kernel::monotonic_time now);
    void publish(kernel::monotonic_time now);
    void publish_to_reader(kernel::monotonic_time now);
    void publish_to_followers(kernel::monotonic_time now);
    void send(std::vector<std::string> const& datagrams, endpoint const& to);

    kernel::metrics& m_metrics;
    server_table& m_table;
    /// Null if no quotas are exchanged.
    quota_exchange* m_quotas = nullptr;
    boost::asio::ip::udp::socket m_socket;
    /// The daemon to which loads are sent; empty if this daemon is the reader.
    std::optional<endpoint> m_reader;
    /// Daemons that sent this one a valid datagram, with the time at which the last one was
    /// received.
    std::map<endpoint, kernel::monotonic_time> m_followers;
    /// Loads that were received up to this time have been published.
    kernel::monotonic_time m_published_until;
    kernel::monotonic_time m_last_sent_at;
    /// Larger than the longest valid datagram, so that a longer one is detected and rejected.
    std::array<char, 1500> m_buffer{};
    endpoint m_sender;
};

} // namespace pistachiohub::gateway
