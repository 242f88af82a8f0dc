#include "plugins/discovery/object_feed.hpp"

#include "kernel/log.hpp"

#include <algorithm>

namespace pistachiohub::discovery
{

namespace
{

using object_store::status;
using std::chrono::milliseconds;

// A store that answers in milliseconds is far past its usual time by then.
constexpr auto read_timeout = milliseconds(1500);
constexpr auto connect_timeout = milliseconds(700);
// Pauses between failed calls. They stay short, because changes must be in force within seconds of
// the store's return.
constexpr auto shortest_pause = milliseconds(100);
constexpr auto longest_pause = milliseconds(500);
constexpr auto delivery_retry = milliseconds(10);
constexpr unsigned most_doublings = 3;

http::client_limits make_limits()
{
    http::client_limits limits;
    limits.connect_timeout = connect_timeout;
    limits.read_timeout = read_timeout;
    return limits;
}

kernel::duration pause_after(unsigned failures, double random)
{
    auto const full =
        std::min(shortest_pause * (1U << std::min(failures - 1, most_doublings)), longest_pause);
    return std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>(full) *
                                                        (0.5 + random / 2));
}

} // namespace

object_feed::object_feed(kernel::daemon_context& context,
                         interface::deployment_interface const& spoken,
                         std::string_view kind,
                         feed_rhythm const& rhythm,
                         convert_function convert)
    : m_context(context)
    , m_kind(kind)
    , m_rhythm(rhythm)
    , m_convert(std::move(convert))
    , m_gateway(context.shared<kernel::mailbox<events::gateway_event>>())
    , m_client(context.own_settings().store, make_limits(), spoken.store)
{
}

void object_feed::run()
{
    while (!m_signal.is_stopping())
        poll();
}

void object_feed::request_stop()
{
    m_signal.stop();
    m_client.cancel();
}

void object_feed::poll()
{
    auto const earliest_next = kernel::monotonic_now() + m_rhythm.spacing;
    bool const is_complete = !m_revision.has_value();
    auto const read = is_complete ? m_client.list(m_kind)
                                  : m_client.watch(m_kind, *m_revision, m_rhythm.watch_wait);
    m_context.own_metrics()
        .find_counter("pistachiohub_discovery_reads_total",
                      {{"kind", m_kind}, {"result", to_string(read.end)}})
        .increment();
    if (read.end != status::ok)
        return handle_failure(read.end);
    if (m_failures > 0)
        report_contact(true, read.end);
    m_failures = 0;
    m_revision = read.revision;
    if (is_complete || !read.objects.empty())
        deliver(m_convert(is_complete, read));
    m_signal.wait_until(earliest_next);
}

void object_feed::handle_failure(status end)
{
    if (end == status::history_gone)
    {
        kernel::log_event(kernel::log_level::info,
                          "discovery",
                          "history_gone",
                          {{"kind", m_kind}, {"revision", m_revision.value_or(0)}});
        m_revision.reset();
        return;
    }
    if (++m_failures == 1 && !m_signal.is_stopping())
        report_contact(false, end);
    auto const random = std::uniform_real_distribution<double>(0, 1)(m_random);
    m_signal.wait_until(kernel::monotonic_now() + pause_after(m_failures, random));
}

void object_feed::report_contact(bool is_reachable, status end)
{
    kernel::log_event(is_reachable ? kernel::log_level::info : kernel::log_level::warning,
                      "discovery",
                      is_reachable ? "store_regained" : "store_lost",
                      {{"kind", m_kind}, {"result", to_string(end)}, {"failures", m_failures}});
    deliver(events::store_contact{m_kind, is_reachable});
}

void object_feed::deliver(events::gateway_event const& event)
{
    while (!m_signal.is_stopping())
    {
        auto copy = event;
        if (m_gateway.try_push(std::move(copy)))
            return;
        m_signal.wait_until(kernel::monotonic_now() + delivery_retry);
    }
}

} // namespace pistachiohub::discovery
