/// @file
/// The duty that registers this entry host in the store, where other daemons find it.

#include "kernel/log.hpp"
#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "libraries/fleet/entry_host_document.hpp"
#include "libraries/interface/interface.hpp"
#include "libraries/object_store/object_store.hpp"
#include "plugins/discovery/relay_followers.hpp"
#include "plugins/discovery/report_interval.hpp"
#include "plugins/store/newest_generation.hpp"
#include "plugins/store/store_probe.hpp"
#include "plugins/store/wake_signal.hpp"

#include <algorithm>
#include <random>

namespace pistachiohub::discovery
{

namespace
{

using object_store::status;
using std::chrono::milliseconds;

constexpr auto call_timeout = milliseconds(1000);
constexpr int start_order = 115;
constexpr std::string_view caller_name = "registration";
// How soon a report is due again after the reader was lost, or the daemon leaves.
constexpr auto check_interval = milliseconds(250);
// Pause after a failed report to a restored store, which all hosts write to at the same time.
constexpr auto restored_report_pause = milliseconds(1000);

http::client_limits make_limits()
{
    http::client_limits limits;
    limits.connect_timeout = call_timeout;
    limits.read_timeout = call_timeout;
    return limits;
}

fleet::entry_host make_record(kernel::settings const& own, std::uint64_t incarnation)
{
    auto const& gateway = *own.gateway;
    fleet::entry_host host;
    host.name = own.name;
    host.callers = gateway.callers;
    host.relay_port = gateway.relay.port;
    host.failure_domain = own.failure_domain;
    host.region = gateway.region;
    host.incarnation = incarnation;
    host.capacity = kernel::serving_capacity(gateway.resources);
    return host;
}

class host_registration : public kernel::duty
{
public:
    explicit host_registration(kernel::daemon_context& context)
        : m_context(context)
        , m_interface(interface::find_interface(context.own_settings().gateway->interface_name))
        , m_client(context.own_settings().store, make_limits(), m_interface.store)
        , m_record(make_record(context.own_settings(), context.incarnation()))
        , m_followers(context.shared<relay_followers>())
        , m_crashes(context.shared<kernel::snapshot<fleet::crash_knowledge>>())
        , m_newest_generation(context.shared<store::newest_generation>())
        , m_probe(context.shared<store::store_probe>())
    {
        // It calls until a call of its own fails: a store that refuses only reads would otherwise
        // leave it too few turns as the probe, and the directory would drop this host.
        m_probe.add(caller_name,
                    store::caller_role::reader,
                    [this]()
                    {
                        m_signal.wake();
                    });
        context.on_drain(
            [this]()
            {
                m_signal.wake();
            });
    }

    ~host_registration() override
    {
        m_probe.remove(caller_name);
    }

    host_registration(host_registration const&) = delete;
    host_registration& operator=(host_registration const&) = delete;

    void run() override
    {
        while (!m_signal.is_stopping())
        {
            auto const now = kernel::boot_clock::now();
            bool const is_urgent = has_urgent_news();
            if (is_urgent)
                m_probe.begin(caller_name, now);
            if (is_urgent ||
                (is_due(kernel::monotonic_now()) && m_probe.try_begin(caller_name, now)))
                write();
            m_signal.wait_until(kernel::monotonic_now() + check_interval);
        }
        remove();
    }

    void request_stop() override
    {
        m_signal.stop();
    }

private:
    // Crashes and the leaving of this host cannot wait for other callers of the store.
    [[nodiscard]] bool has_urgent_news()
    {
        auto const* const crashes = m_crashes.get();
        if (crashes != nullptr && *crashes != m_record.crashes)
        {
            m_record.crashes = *crashes;
            return true;
        }
        return m_record.is_leaving != m_context.is_draining();
    }

    // A daemon from which this one reads reports it too.
    [[nodiscard]] bool is_due(kernel::monotonic_time now) const
    {
        if (m_record.report == 0)
            return true;
        // The store was restored from an older copy, which may lack the last report.
        if (object_store::is_other_generation(m_written_generation, m_newest_generation.value()) &&
            (m_last_end == status::ok || now - m_reported_at >= restored_report_pause))
            return true;
        bool const is_reported =
            m_last_end == status::ok && m_followers.is_known_to_relay(kernel::boot_clock::now());
        return now - m_reported_at >= (is_reported ? follower_report_interval : report_interval);
    }

    void write()
    {
        m_reported_at = kernel::monotonic_now();
        m_record.is_leaving = m_context.is_draining();
        m_record.followers = m_followers.living(kernel::boot_clock::now());
        ++m_record.report;
        auto result = write_once();
        // The object of an earlier incarnation of this host, or of a write whose answer was lost.
        if (result.end == status::conflict)
        {
            if (m_version == 0)
                inherit_crashes();
            m_version = result.version;
            result = write_once();
        }
        if (result.end == status::missing)
        {
            m_version = 0;
            result = write_once();
        }
        if (result.end == status::ok)
        {
            m_version = result.version;
            m_written_generation = result.generation;
        }
        bool const is_answered = result.end == status::ok || result.end == status::conflict ||
                                 result.end == status::missing;
        m_probe.end(caller_name,
                    is_answered,
                    std::uniform_real_distribution<double>(0, 1)(m_random),
                    kernel::boot_clock::now());
        log_change(result.end);
    }

    object_store::write_result write_once()
    {
        return m_client.write(
            m_interface.kinds.entry_hosts, m_record.name, m_version, to_document(m_record));
    }

    // The object that this write replaces may be the only place that holds what an earlier process
    // of this host has found.
    void inherit_crashes()
    {
        auto const earlier = m_client.read(m_interface.kinds.entry_hosts, m_record.name);
        if (earlier.end != status::ok)
            return;
        try
        {
            auto const host = fleet::parse_entry_host(m_record.name, earlier.found.value);
            fleet::inherit_crashes(m_record.crashes, host.crashes);
        }
        catch (fleet::entry_host_error const& failure)
        {
            kernel::log_event(kernel::log_level::warning,
                              "discovery",
                              "earlier_registration_unreadable",
                              {{"error", std::string_view(failure.what())}});
        }
    }

    // A host that ends leaves no object behind. After a failure the others notice its silence.
    void remove()
    {
        if (m_version == 0)
            return;
        auto const result =
            m_client.remove(m_interface.kinds.entry_hosts, m_record.name, m_version);
        kernel::log_event(kernel::log_level::info,
                          "discovery",
                          "registration_removed",
                          {{"result", to_string(result.end)}});
    }

    void log_change(status end)
    {
        m_context.own_metrics()
            .find_counter("pistachiohub_discovery_registrations_total", {"result", to_string(end)})
            .increment();
        if (end == m_last_end)
            return;
        m_last_end = end;
        kernel::log_event(end == status::ok ? kernel::log_level::info : kernel::log_level::warning,
                          "discovery",
                          "registration_written",
                          {{"result", to_string(end)},
                           {"version", m_version},
                           {"report", m_record.report},
                           {"is_leaving", static_cast<int>(m_record.is_leaving)}});
    }

    kernel::daemon_context& m_context;
    interface::deployment_interface const& m_interface;
    object_store::client m_client;
    fleet::entry_host m_record;
    relay_followers& m_followers;
    kernel::snapshot_reader<fleet::crash_knowledge> m_crashes;
    store::newest_generation& m_newest_generation;
    store::store_probe& m_probe;
    std::mt19937_64 m_random{std::random_device{}()};
    /// Generation of the store that acknowledged the last report; 0 if it is unknown.
    std::uint64_t m_written_generation = 0;
    kernel::monotonic_time m_reported_at;
    store::wake_signal m_signal;
    std::uint64_t m_version = 0;
    status m_last_end = status::missing;
};

std::unique_ptr<kernel::duty> create(kernel::daemon_context& context)
{
    return std::make_unique<host_registration>(context);
}

kernel::registration const host_registration_registration(
    {"registration", start_order, create, kernel::daemon_part::gateway});

} // namespace

} // namespace pistachiohub::discovery
