/// @file
/// The duty "settlement": keeps the gateway's settlement in the store.

#include "kernel/log.hpp"
#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "libraries/events/store_command.hpp"
#include "libraries/interface/interface.hpp"
#include "libraries/object_store/object_store.hpp"
#include "plugins/store/newest_generation.hpp"
#include "plugins/store/settlement_flush.hpp"
#include "plugins/store/store_probe.hpp"
#include "plugins/store/wake_signal.hpp"

#include <algorithm>
#include <random>

namespace pistachiohub::store
{

namespace
{

using object_store::status;
using std::chrono::milliseconds;

// After the feeds and the gateway have a place to put their messages; stopped after the gateway.
constexpr int start_order = 114;
constexpr std::string_view caller_name = "settlement";
// Outcomes are taken from the ring at this interval, so that a request does not wake the thread.
constexpr auto drain_interval = milliseconds(1000);
constexpr auto call_timeout = milliseconds(500);
// Calls made when the daemon stops: one write, one more after a lost answer or a conflict.
constexpr int most_last_steps = 3;
constexpr auto epoch_length = std::chrono::minutes(1);
// Outcomes that may wait in the ring: several hundred requests a second for the drain interval.
constexpr std::ptrdiff_t ring_capacity = 4096;

http::client_limits make_limits()
{
    http::client_limits limits;
    limits.connect_timeout = call_timeout;
    limits.read_timeout = call_timeout;
    return limits;
}

class settlement_writer : public kernel::duty
{
public:
    explicit settlement_writer(kernel::daemon_context& context)
        : m_context(context)
        , m_interface(interface::find_interface(context.own_settings().gateway->interface_name))
        , m_outcomes(context.shared<kernel::mailbox<events::settle_request>>())
        , m_newest_generation(context.shared<newest_generation>())
        , m_probe(context.shared<store_probe>())
        , m_client(context.own_settings().store, make_limits(), m_interface.store)
        , m_ledger(context.own_settings().name, context.incarnation())
        , m_flush(m_ledger, context.own_settings().gateway->settlement_interval)
        , m_object_name(context.own_settings().name + '.' + std::to_string(context.incarnation()))
    {
        m_outcomes.set_capacity(ring_capacity);
        m_probe.add(caller_name,
                    caller_role::writer,
                    [this]()
                    {
                        m_signal.wake();
                    });
    }

    ~settlement_writer() override
    {
        m_probe.remove(caller_name);
    }

    settlement_writer(settlement_writer const&) = delete;
    settlement_writer& operator=(settlement_writer const&) = delete;

    void run() override
    {
        while (m_signal.wait_until(kernel::monotonic_now() + drain_interval))
        {
            count_outcomes();
            note_restored_store();
            auto const due_at = m_flush.next_due();
            if (due_at && *due_at <= kernel::monotonic_now() &&
                m_probe.try_begin(caller_name, kernel::boot_clock::now()))
                step();
        }
        write_last_time();
    }

    void request_stop() override
    {
        m_signal.stop();
    }

private:
    void count_outcomes()
    {
        m_outcomes.drain(
            [this](events::settle_request&& settled)
            {
                auto const running = kernel::monotonic_now() - m_started_at;
                m_ledger.count(settled, static_cast<std::uint32_t>(running / epoch_length));
            });
    }

    void note_restored_store()
    {
        if (object_store::is_other_generation(m_written_generation, m_newest_generation.value()))
        {
            m_written_generation = m_newest_generation.value();
            m_flush.write_again();
        }
    }

    /// Makes the calls that are due. They must have begun in the probe, and end in it.
    void step()
    {
        auto const random = std::uniform_real_distribution<double>(0, 1)(m_random);
        if (m_flush.must_read_back(kernel::monotonic_now()))
        {
            auto const read = m_client.read(m_interface.kinds.settlements, m_object_name);
            count_call("read", read.end);
            m_flush.on_read_back(read, kernel::monotonic_now(), random);
        }
        if (auto const write = m_flush.next_write(kernel::monotonic_now()))
            send(*write, random);
        bool const is_answered = m_last_end == status::ok || m_last_end == status::missing ||
                                 m_last_end == status::conflict;
        m_probe.end(caller_name, is_answered, random, kernel::boot_clock::now());
    }

    void send(due_write const& write, double random)
    {
        auto const written = m_client.write(
            m_interface.kinds.settlements, m_object_name, write.expected_version, write.text);
        count_call("write", written.end);
        if (written.end == status::ok)
            m_written_generation = written.generation;
        m_flush.on_write(written, kernel::monotonic_now(), random);
    }

    // Earlier failures do not delay it: the process has little time left.
    void write_last_time()
    {
        count_outcomes();
        for (int steps = 0; steps < most_last_steps && !m_flush.is_written(); ++steps)
        {
            m_flush.hurry_after_failures();
            note_restored_store();
            m_probe.begin(caller_name, kernel::boot_clock::now());
            step();
        }
        kernel::log_event(m_flush.is_written() ? kernel::log_level::info : kernel::log_level::error,
                          "store",
                          m_flush.is_written() ? "settlement_flushed" : "settlement_not_flushed",
                          {{"object", std::string_view(m_object_name)}});
    }

    void count_call(std::string_view call, status end)
    {
        m_context.own_metrics()
            .find_counter("pistachiohub_store_settlement_calls_total",
                          {{"call", call}, {"result", to_string(end)}})
            .increment();
        if (end == m_last_end)
            return;
        m_last_end = end;
        kernel::log_event(end == status::ok ? kernel::log_level::info : kernel::log_level::warning,
                          "store",
                          "settlement_written",
                          {{"call", call},
                           {"result", to_string(end)},
                           {"object", std::string_view(m_object_name)}});
    }

    kernel::daemon_context& m_context;
    interface::deployment_interface const& m_interface;
    kernel::mailbox<events::settle_request>& m_outcomes;
    newest_generation& m_newest_generation;
    store_probe& m_probe;
    /// Generation of the store for which the last write was made or is due; 0 if it is unknown.
    std::uint64_t m_written_generation = 0;
    object_store::client m_client;
    settlement_ledger m_ledger;
    settlement_flush m_flush;
    std::string m_object_name;
    kernel::monotonic_time m_started_at = kernel::monotonic_now();
    std::mt19937_64 m_random{std::random_device{}()};
    wake_signal m_signal;
    status m_last_end = status::missing;
};

std::unique_ptr<kernel::duty> create_settlement_writer(kernel::daemon_context& context)
{
    return std::make_unique<settlement_writer>(context);
}

kernel::registration const settlement_writer_registration(
    {"settlement", start_order, create_settlement_writer, kernel::daemon_part::gateway});

} // namespace

} // namespace pistachiohub::store
