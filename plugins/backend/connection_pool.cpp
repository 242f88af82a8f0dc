#include "plugins/backend/connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace pistachiohub::backend
{

connection_pool::connection_pool(kernel::event_loop& loop, std::string address, std::uint16_t port)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_port(port)
{
}

std::shared_ptr<server_connection> connection_pool::take_idle()
{
    while (!m_idle.empty())
    {
        auto newest = std::move(m_idle.back().connection);
        m_idle.pop_back();
        if (newest->is_reusable())
            return newest;
    }
    return nullptr;
}

std::shared_ptr<server_connection> connection_pool::make_connection()
{
    auto made = std::make_unique<server_connection>(m_loop, m_address, m_port);
    ++*m_connections;
    return {made.release(),
            [connections = m_connections](server_connection* connection)
            {
                --*connections;
                delete connection;
            }};
}

void connection_pool::give_back(std::shared_ptr<server_connection>&& connection)
{
    auto const returned = std::move(connection);
    if (returned->is_reusable())
        m_idle.push_back({returned, kernel::monotonic_now()});
}

void connection_pool::close_idle(kernel::monotonic_time oldest)
{
    auto const first_kept = std::find_if(m_idle.begin(),
                                         m_idle.end(),
                                         [oldest](idle_connection const& idle)
                                         {
                                             return idle.since >= oldest;
                                         });
    m_idle.erase(m_idle.begin(), first_kept);
}

std::size_t connection_pool::connections() const
{
    return *m_connections;
}

} // namespace pistachiohub::backend
