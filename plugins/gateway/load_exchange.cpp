#include "plugins/gateway/load_exchange.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>

namespace pistachiohub::gateway
{

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Runs take a few tenths of a second, and a load is worth little after one of them.
constexpr auto tell_interval = milliseconds(200);
// A follower without news is heard of this often.
constexpr auto idle_interval = milliseconds(1000);
// Silence after which a follower is told nothing more: it was lost, or has another reader.
constexpr auto follower_silence = milliseconds(3000);
// Daemons that are told loads; a group of one reader is smaller.
constexpr std::size_t most_followers = 64;

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
    loop.every(tell_interval,
               [this]()
               {
                   tell(kernel::monotonic_now());
               });
}

kernel::endpoint load_exchange::address() const
{
    auto const bound = m_socket.local_endpoint();
    return {bound.address().to_string(), bound.port()};
}

void load_exchange::set_reader(kernel::endpoint const& reader, kernel::monotonic_time now)
{
    m_reader = reader.port == 0 ? std::nullopt : std::optional(to_endpoint(reader));
    // A new reader is told the newest loads again.
    m_told_until = now - oldest_shared_load;
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
            // An error names a datagram that was refused at its destination.
            if (failure)
                m_metrics
                    .find_counter("pistachiohub_gateway_load_datagrams_total", {"result", "failed"})
                    .increment();
            else
                handle({m_buffer.data(), size}, kernel::monotonic_now());
            receive();
        });
}

void load_exchange::handle(std::string_view datagram, kernel::monotonic_time now)
{
    auto const loads = decode_loads(datagram);
    m_metrics
        .find_counter("pistachiohub_gateway_load_datagrams_total",
                      {"result", loads ? "read" : "malformed"})
        .increment();
    if (!loads)
        return;
    if (!m_reader && (m_followers.contains(m_sender) || m_followers.size() < most_followers))
        m_followers[m_sender] = now;
    auto const newer = apply_loads(m_table, *loads, now);
    m_metrics.find_counter("pistachiohub_gateway_shared_loads_total")
        .increment(static_cast<double>(newer));
}

void load_exchange::tell(kernel::monotonic_time now)
{
    if (m_reader)
        tell_reader(now);
    else
        tell_followers(now);
}

void load_exchange::tell_reader(kernel::monotonic_time now)
{
    auto const loads = collect_loads(m_table, load_source::own, m_told_until, now);
    m_told_until = now;
    if (loads.empty() && now - m_sent_at < idle_interval)
        return;
    m_sent_at = now;
    send(encode_loads(loads), *m_reader);
}

void load_exchange::tell_followers(kernel::monotonic_time now)
{
    std::erase_if(m_followers,
                  [now](auto const& follower)
                  {
                      return now - follower.second > follower_silence;
                  });
    if (m_followers.empty())
        return;
    auto const loads = collect_loads(m_table, load_source::all, m_told_until, now);
    m_told_until = now;
    if (loads.empty())
        return;
    auto const datagrams = encode_loads(loads);
    for (auto const& [follower, heard_at] : m_followers)
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
