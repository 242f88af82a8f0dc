#pragma once

/// @file
/// Exchanges loads of backend servers with the daemons that share a reader of the store.

#include "kernel/endpoint.hpp"
#include "kernel/event_loop.hpp"
#include "kernel/metrics.hpp"
#include "plugins/gateway/load_report.hpp"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::gateway
{

/// Sends the reader what this daemon hears from backend servers; the reader sends all of it to each
/// daemon that told it something lately. Datagrams may be lost: each load is only a hint, and newer
/// ones follow. Runs on the gateway's thread.
class load_exchange
{
public:
    /// @param own address of the socket; port 0 takes a free one.
    /// @param table must outlive the exchange.
    load_exchange(kernel::event_loop& loop,
                  kernel::metrics& metrics,
                  kernel::endpoint const& own,
                  server_table& table);

    /// @returns the address of the socket.
    [[nodiscard]] kernel::endpoint address() const;

    /// @param reader the daemon that collects the loads; without a port it is this one.
    void set_reader(kernel::endpoint const& reader, kernel::monotonic_time now);

private:
    using endpoint = boost::asio::ip::udp::endpoint;

    void receive();
    void handle(std::string_view datagram, kernel::monotonic_time now);
    void tell(kernel::monotonic_time now);
    void tell_reader(kernel::monotonic_time now);
    void tell_followers(kernel::monotonic_time now);
    void send(std::vector<std::string> const& datagrams, endpoint const& to);

    kernel::metrics& m_metrics;
    server_table& m_table;
    boost::asio::ip::udp::socket m_socket;
    /// The daemon that collects the loads; missing when it is this one.
    std::optional<endpoint> m_reader;
    /// Daemons that told this one something, with the time of their last datagram.
    std::map<endpoint, kernel::monotonic_time> m_followers;
    /// Loads that were learned until then have been told.
    kernel::monotonic_time m_told_until;
    kernel::monotonic_time m_sent_at;
    /// Longer than the longest datagram that is read, so that a longer one is refused.
    std::array<char, 1500> m_buffer{};
    endpoint m_sender;
};

} // namespace pistachiohub::gateway
