#include "plugins/store/watch_loop.hpp"

#include "kernel/log.hpp"
#include "plugins/store/backoff.hpp"

namespace pistachiohub::store
{

namespace
{

using object_store::status;

// Each waiting watch is one call to the platform, so long waits keep the rate low.
constexpr auto watch_wait = std::chrono::milliseconds(20'000);
constexpr auto role_poll_interval = std::chrono::milliseconds(200);
// A store that answers a watch at once without need must not be called without pause.
constexpr auto shortest_poll_interval = std::chrono::milliseconds(50);
constexpr auto delivery_retry = std::chrono::milliseconds(10);

} // namespace

watch_loop::watch_loop(kernel::daemon_context& context,
                       std::string kind,
                       convert_function convert,
                       bool reports_polls)
    : m_context(context)
    , m_kind(std::move(kind))
    , m_convert(std::move(convert))
    , m_reports_polls(reports_polls)
    , m_role(context.shared<kernel::snapshot<events::reader_role>>())
    , m_control(context.shared<kernel::mailbox<events::control_event>>())
    , m_client(context.own_settings().store)
{
}

bool watch_loop::is_reader()
{
    auto const* const role = m_role.get();
    return role == nullptr || role->is_reader;
}

void watch_loop::wait(kernel::duration delay)
{
    m_signal.wait_until(kernel::monotonic_now() + delay);
}

void watch_loop::run()
{
    while (!m_signal.is_stopping())
    {
        if (is_reader())
        {
            poll();
            continue;
        }
        // Changes are missed while others read, so the next turn starts with a full read.
        m_revision.reset();
        wait(role_poll_interval);
    }
}

void watch_loop::request_stop()
{
    m_signal.stop();
    m_client.cancel();
}

void watch_loop::poll()
{
    auto const earliest_next = kernel::monotonic_now() + shortest_poll_interval;
    auto const result =
        m_revision ? m_client.watch(m_kind, {0, *m_revision}, watch_wait) : m_client.list(m_kind);
    m_context.own_metrics()
        .find_counter("pistachiohub_store_" + m_kind + "_polls_total",
                      {"result", to_string(result.end)})
        .increment();
    if (result.end != status::ok)
    {
        auto const delay =
            backoff_delay(++m_failures, std::uniform_real_distribution<double>(0, 1)(m_random));
        if (m_failures == 1 && !m_signal.is_stopping())
            kernel::log_event(kernel::log_level::warning,
                              "store",
                              "watch_failed",
                              {{"kind", m_kind}, {"result", to_string(result.end)}});
        if (m_failures == 1)
            report({false, 0, false});
        wait(delay);
        return;
    }
    m_failures = 0;
    // A store that was restored from a backup counts revisions from an earlier number.
    bool const is_restored = m_revision && result.revision < *m_revision;
    if (is_restored)
    {
        m_revision.reset();
        report({true, result.revision, true});
    }
    else
        m_revision = result.revision;
    for (auto const& object : result.objects)
    {
        if (auto const event = m_convert(object, result.revision))
            deliver(*event);
    }
    if (!is_restored)
        report({true, result.revision, false});
    m_signal.wait_until(earliest_next);
}

void watch_loop::report(events::host_list_polled const& poll)
{
    if (m_reports_polls)
        deliver(poll);
}

void watch_loop::deliver(events::control_event const& event)
{
    while (!m_signal.is_stopping())
    {
        auto copy = event;
        if (m_control.try_push(std::move(copy)))
            return;
        wait(delivery_retry);
    }
}

} // namespace pistachiohub::store
