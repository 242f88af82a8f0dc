#include "plugins/gateway/quota_exchange.hpp"

#include "plugins/gateway/affinity.hpp"

namespace pistachiohub::gateway
{

quota_exchange::quota_exchange(std::string const& own_name, quota::ledger& ledger)
    : m_own(hash_text(own_name))
    , m_ledger(ledger)
{
}

void quota_exchange::set_readers(quota_peer const& reader,
                                 std::span<quota_peer const> other_readers,
                                 kernel::monotonic_time now)
{
    auto const add = [this](quota_peer const& peer)
    {
        auto const id = hash_text(peer.name);
        m_addresses[id] = {boost::asio::ip::make_address(peer.address.address), peer.address.port};
        return id;
    };
    // Addresses come from the store, where any client may write.
    auto const is_usable = [](quota_peer const& peer)
    {
        return peer.address.port != 0 && kernel::is_host_address(peer.address.address);
    };
    std::optional<std::uint64_t> reader_id;
    if (!reader.name.empty() && is_usable(reader))
        reader_id = add(reader);
    std::vector<std::uint64_t> others;
    for (auto const& peer : other_readers)
    {
        if (is_usable(peer))
            others.push_back(add(peer));
    }
    quota::set_readers(m_ledger, reader_id, others, now);
    std::erase_if(m_addresses,
                  [this](auto const& entry)
                  {
                      return !m_ledger.links.contains(entry.first);
                  });
}

bool quota_exchange::receive(std::string_view datagram,
                             endpoint const& from,
                             kernel::monotonic_time now)
{
    auto const report = decode_quotas(datagram);
    if (!report)
        return false;
    if (m_ledger.accounts.empty() || report->sender == m_own)
        return true;
    quota::apply_report(m_ledger, report->sender, report->content, now);
    if (report->content.receiver == quota::link_kind::reader &&
        m_ledger.links.contains(report->sender))
        m_addresses[report->sender] = from;
    return true;
}

void quota_exchange::publish(sender const& send, kernel::monotonic_time now)
{
    if (m_ledger.accounts.empty())
        return;
    for (auto const id : quota::open_links(m_ledger))
    {
        if (auto const address = m_addresses.find(id); address != m_addresses.end())
            send(encode_quotas({m_own, quota::make_report(m_ledger, id, now)}), address->second);
    }
}

} // namespace pistachiohub::gateway
