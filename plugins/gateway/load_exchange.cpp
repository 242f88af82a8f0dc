#include "plugins/gateway/load_exchange.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>

namespace pistachiohub::gateway
{

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Interval at which loads are published. A request takes a few tenths of a second, and a load older
// than that is of little use.
constexpr auto publish_interval = milliseconds(200);
// Interval at which a follower without new loads sends an empty datagram, to stay a follower.
constexpr auto keepalive_interval = milliseconds(1000);
// Time without a datagram after which a follower is removed: it was lost, or has another reader.
constexpr auto follower_timeout = milliseconds(3000);
// Maximum number of followers that loads are sent to; the group of a reader is smaller.
constexpr std::size_t max_followers = 64;

asio::ip::udp::endpoint to_endpoint(kernel::endpoint const& address)
{
    return {asio::ip::make_address(address.address), address.port};
}

} // namespace

load_exchange::load_exchange(kernel::event_loop& loop,
                             kernel::metrics& metrics,
                             kernel::endpoint const& own,
                             server_table& table)
    : m_metrics(metrics)
    , m_table(table)
    , m_socket(loop.context(), to_endpoint(own))
{
    m_socket.non_blocking(true);
    receive();
    loop.every(publish_interval,
               [this]()
               {
                   publish(kernel::monotonic_now());
               });
}

kernel::endpoint load_exchange::address() const
{
    auto const bound = m_socket.local_endpoint();
    return {bound.address().to_string(), bound.port()};
}

void load_exchange::set_reader(kernel::endpoint const& reader, kernel::monotonic_time now)
{
    bool const is_usable = reader.port != 0 && kernel::is_host_address(reader.address);
    m_reader = is_usable ? std::optional(to_endpoint(reader)) : std::nullopt;
    // A new reader gets all loads that are not outdated.
    m_published_until = now - max_shared_load_age;
}

void load_exchange::receive()
{
    m_socket.async_receive_from(
        asio::buffer(m_buffer),
        m_sender,
        [this](boost::system::error_code failure, std::size_t size)
        {
            if (failure == asio::error::operation_aborted)
                return;
            // An error here means that an earlier datagram was rejected at its destination.
            if (failure)
                m_metrics
                    .find_counter("pistachiohub_gateway_load_datagrams_total", {"result", "failed"})
                    .increment();
            else
                handle_datagram({m_buffer.data(), size}, kernel::monotonic_now());
            receive();
        });
}

void load_exchange::handle_datagram(std::string_view datagram, kernel::monotonic_time now)
{
    if (m_quotas != nullptr && is_quota_datagram(datagram))
    {
        bool const is_read = m_quotas->receive(datagram, m_sender, now);
        m_metrics
            .find_counter("pistachiohub_gateway_quota_datagrams_total",
                          {"result", is_read ? "read" : "malformed"})
            .increment();
        return;
    }
    auto const loads = decode_loads(datagram);
    m_metrics
        .find_counter("pistachiohub_gateway_load_datagrams_total",
                      {"result", loads ? "read" : "malformed"})
        .increment();
    if (!loads)
        return;
    if (!m_reader && (m_followers.contains(m_sender) || m_followers.size() < max_followers))
        m_followers[m_sender] = now;
    auto const newer = apply_loads(m_table, *loads, now);
    m_metrics.find_counter("pistachiohub_gateway_shared_loads_total")
        .increment(static_cast<double>(newer));
}

void load_exchange::publish(kernel::monotonic_time now)
{
    if (m_quotas != nullptr)
        m_quotas->publish(
            [this](std::vector<std::string> const& datagrams, endpoint const& to)
            {
                send(datagrams, to);
            },
            now);
    if (m_reader)
        publish_to_reader(now);
    else
        publish_to_followers(now);
}

void load_exchange::publish_to_reader(kernel::monotonic_time now)
{
    auto const loads = collect_loads(m_table, load_source::own, m_published_until, now);
    m_published_until = now;
    if (loads.empty() && now - m_last_sent_at < keepalive_interval)
        return;
    m_last_sent_at = now;
    send(encode_loads(loads), *m_reader);
}

void load_exchange::publish_to_followers(kernel::monotonic_time now)
{
    std::erase_if(m_followers,
                  [now](auto const& follower)
                  {
                      return now - follower.second > follower_timeout;
                  });
    if (m_followers.empty())
        return;
    auto const loads = collect_loads(m_table, load_source::all, m_published_until, now);
    m_published_until = now;
    if (loads.empty())
        return;
    auto const datagrams = encode_loads(loads);
    for (auto const& [follower, last_received_at] : m_followers)
        send(datagrams, follower);
}

void load_exchange::send(std::vector<std::string> const& datagrams, endpoint const& to)
{
    for (auto const& datagram : datagrams)
    {
        boost::system::error_code failure;
        m_socket.send_to(asio::buffer(datagram), to, 0, failure);
        m_metrics
            .find_counter("pistachiohub_gateway_load_datagrams_total",
                          {"result", failure ? "not_sent" : "sent"})
            .increment();
    }
}

} // namespace pistachiohub::gateway
