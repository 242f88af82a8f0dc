#pragma once

/// @file
/// Exchanges the totals of customers' quotas with other daemons, over the load exchange's socket.

#include "kernel/endpoint.hpp"
#include "plugins/gateway/quota_report.hpp"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <span>
#include <string>
#include <unordered_map>

namespace pistachiohub::gateway
{

/// A daemon with which quotas are exchanged.
struct quota_peer
{
    /// Name of its host.
    std::string name;
    kernel::endpoint address;
};

/// Sends and applies quota reports. Sends nothing while no customer has a limit.
class quota_exchange
{
public:
    using endpoint = boost::asio::ip::udp::endpoint;
    using sender = std::function<void(std::vector<std::string> const&, endpoint const&)>;

    /// @param own_name name of this host.
    /// @param ledger must outlive the exchange.
    quota_exchange(std::string const& own_name, quota::ledger& ledger);

    /// Sets the daemons with which this one exchanges reports.
    /// @param reader this host's reader; without a name this host is itself a reader.
    void set_readers(quota_peer const& reader,
                     std::span<quota_peer const> other_readers,
                     kernel::monotonic_time now);

    /// Applies a datagram.
    /// @returns whether it was valid.
    bool receive(std::string_view datagram, endpoint const& from, kernel::monotonic_time now);

    /// Sends the totals that changed.
    void publish(sender const& send, kernel::monotonic_time now);

private:
    std::uint64_t m_own;
    quota::ledger& m_ledger;
    std::unordered_map<std::uint64_t, endpoint> m_addresses;
};

} // namespace pistachiohub::gateway
