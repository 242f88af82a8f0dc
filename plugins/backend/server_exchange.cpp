#include "plugins/backend/server_exchange.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace pistachiohub::backend
{

namespace
{

// A backend server accepts a connection in about 1 ms and is at most one region away.
constexpr kernel::duration connect_timeout = std::chrono::seconds(1);

/// The state of one request, kept alive by the wait of its timer until it ends.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(kernel::event_loop& loop,
             std::shared_ptr<connection_pool> pool,
             server_request&& request,
             exchange_bounds const& bounds,
             std::function<void(exchange_end, server_answer&&)>&& report)
        : m_pool(std::move(pool))
        , m_request(std::move(request))
        , m_bounds(bounds)
        , m_report(std::move(report))
        , m_timer(loop.context())
    {
    }

    void start()
    {
        if (kernel::monotonic_now() >= m_bounds.deadline)
            return finish(exchange_end::expired_unsent);
        wait_for(m_bounds.deadline);
        m_connection = m_pool->take_idle();
        if (m_connection)
            return send(true);
        if (m_pool->connections() >= m_bounds.connection_limit)
            return finish(exchange_end::limit_reached);
        connect();
    }

private:
    void connect()
    {
        m_connection = m_pool->make_connection();
        m_connection->connect(connect_timeout,
                              [weak = weak_from_this()](bool is_connected)
                              {
                                  auto const self = weak.lock();
                                  if (!self || self->m_is_finished)
                                      return;
                                  if (is_connected)
                                      self->send(false);
                                  else
                                      self->finish(exchange_end::unreachable);
                              });
    }

    void send(bool is_reused)
    {
        // A connection that proves closed before any byte is written is replaced by a new one.
        auto copy = is_reused ? m_request : std::move(m_request);
        m_connection->exchange(
            std::move(copy),
            m_bounds.deadline,
            [weak = weak_from_this(), is_reused](connection_end end, server_answer&& answer)
            {
                if (auto const self = weak.lock())
                    self->handle_end(end, std::move(answer), is_reused);
            });
    }

    void handle_end(connection_end end, server_answer&& answer, bool is_reused)
    {
        if (m_is_finished)
            return;
        if (end == connection_end::answered)
            return finish(exchange_end::answered, std::move(answer));
        if (end == connection_end::broken || m_is_late)
            return finish(exchange_end::broken);
        if (!is_reused)
            return finish(exchange_end::unreachable);
        m_connection.reset();
        connect();
    }

    void wait_for(kernel::monotonic_time time)
    {
        m_timer.expires_at(time);
        m_timer.async_wait(
            [self = shared_from_this()](boost::system::error_code cancelled)
            {
                if (!cancelled && !self->m_is_finished)
                    self->handle_timer();
            });
    }

    void handle_timer()
    {
        if (m_is_late)
            return end_quietly();
        if (!m_connection->has_sent())
            return finish(exchange_end::expired_unsent);
        m_is_late = true;
        wait_for(m_bounds.deadline + m_bounds.late_time);
        m_report(exchange_end::expired, {});
    }

    void finish(exchange_end end, server_answer&& answer = {})
    {
        auto const report = std::exchange(m_report, nullptr);
        // A late copy of a refusal that names no request could not be told from the answer to the
        // next one.
        bool const is_identified = answer.not_started.empty() || !answer.request_id.empty();
        // A connection that carried a late answer is closed, whatever its state.
        if (end == exchange_end::answered && !m_is_late && is_identified)
            m_pool->give_back(std::move(m_connection));
        end_quietly();
        report(end, std::move(answer));
    }

    void end_quietly()
    {
        m_is_finished = true;
        m_connection.reset();
        m_timer.cancel();
    }

    std::shared_ptr<connection_pool> m_pool;
    server_request m_request;
    exchange_bounds m_bounds;
    std::function<void(exchange_end, server_answer&&)> m_report;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<server_connection> m_connection;
    bool m_is_late = false;
    bool m_is_finished = false;
};

} // namespace

void start_exchange(kernel::event_loop& loop,
                    std::shared_ptr<connection_pool> const& pool,
                    server_request&& request,
                    exchange_bounds const& bounds,
                    std::function<void(exchange_end, server_answer&&)> report)
{
    auto const started =
        std::make_shared<exchange>(loop, pool, std::move(request), bounds, std::move(report));
    loop.post(
        [started]()
        {
            started->start();
        });
}

} // namespace pistachiohub::backend
