#include "plugins/discovery/object_feed.hpp"

#include "kernel/log.hpp"
#include "plugins/discovery/relay_dialect.hpp"
#include "plugins/discovery/relay_followers.hpp"

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
// The permission to call the store is looked at again after this time, also without a wake-up.
constexpr auto permission_check = milliseconds(500);
// How soon a daemon that starts notices that it was told where to read.
constexpr auto choice_check = milliseconds(20);
constexpr auto delivery_retry = milliseconds(10);

http::client_limits make_limits()
{
    http::client_limits limits;
    limits.connect_timeout = connect_timeout;
    limits.read_timeout = read_timeout;
    return limits;
}

} // namespace

object_feed::object_feed(kernel::daemon_context& context,
                         interface::deployment_interface const& spoken,
                         std::string_view kind,
                         feed_rhythm const& rhythm,
                         convert_function convert,
                         confirmed_function confirmed)
    : m_context(context)
    , m_kind(kind)
    , m_rhythm(rhythm)
    , m_convert(std::move(convert))
    , m_confirmed(std::move(confirmed))
    , m_gateway(context.shared<kernel::mailbox<events::gateway_event>>())
    , m_histories(context.shared<feed_histories>())
    , m_newest_generation(context.shared<store::newest_generation>())
    , m_probe(context.shared<store::store_probe>())
    , m_relay(context.shared<kernel::snapshot<fleet::relay_choice>>())
    , m_client(context.own_settings().store, make_limits(), spoken.store)
{
    m_probe.add(m_kind,
                store::caller_role::reader,
                [this]()
                {
                    m_signal.wake();
                });
}

object_feed::~object_feed()
{
    m_probe.remove(m_kind);
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
    std::lock_guard const lock(m_relay_mutex);
    if (m_relay_client)
        m_relay_client->cancel();
}

void object_feed::poll()
{
    auto const* const relay = m_relay.get();
    if (connection_to(relay) == relay_connection::none && m_relay_client)
        close_relay_client();
    auto const planned = begin_read(relay);
    if (!planned)
        wait_for_permission(relay);
    else if (planned->source == read_source::relay)
        poll_relay(*relay, planned->wait);
    else
        poll_store(*planned);
}

std::optional<planned_read> object_feed::begin_read(fleet::relay_choice const* relay)
{
    auto const now = kernel::boot_clock::now();
    auto const planned = plan_read(m_progress, m_rhythm, connection_to(relay), now);
    if (planned.source == read_source::relay || m_probe.try_begin(m_kind, now))
        return planned;
    return plan_read_without_store(m_progress, m_rhythm, connection_to(relay), now);
}

void object_feed::wait_for_permission(fleet::relay_choice const* relay)
{
    auto const now = kernel::boot_clock::now();
    auto until = std::min(m_probe.permitted_at(m_kind), now + permission_check);
    if (relay != nullptr && !relay->host.empty() && m_progress.has_list)
        until = std::min(until, m_progress.relay_avoided_until);
    m_signal.wait_until(kernel::monotonic_now() + (until - now));
}

// A connection that is no longer used counts against those that the other daemon accepts.
void object_feed::close_relay_client()
{
    std::lock_guard const lock(m_relay_mutex);
    m_relay_client.reset();
}

relay_connection object_feed::connection_to(fleet::relay_choice const* relay) const
{
    if (relay == nullptr)
        return relay_connection::undecided;
    if (relay->host.empty())
        return relay_connection::none;
    bool const is_open = m_relay_client && m_relay_address == relay->address;
    return is_open ? relay_connection::open : relay_connection::closed;
}

void object_feed::poll_relay(fleet::relay_choice const& relay, milliseconds wait)
{
    auto const asked_at = kernel::boot_clock::now();
    auto const read = client_of(relay).watch(
        asked_kind(m_kind, {m_context.own_settings().name, m_context.incarnation()}),
        *m_position,
        wait);
    count_read("relay", read.end);
    if (read.end == status::ok)
    {
        auto const confirmed_at = asked_at - read.age.value_or(m_rhythm.longest_age);
        note_relay_answer(m_progress, confirmed_at);
        m_histories.update(m_kind, false, false, read, asked_at);
        note_contact(confirmed_at);
        m_context.shared<relay_followers>().note_answer(kernel::boot_clock::now());
        return accept(events::read_kind::changes, read, confirmed_at);
    }
    if (read.end == status::cancelled)
        return;
    if (read.end == status::history_gone)
        note_relay_gap(m_progress, kernel::boot_clock::now());
    else
        note_relay_failure(m_progress, kernel::boot_clock::now());
    kernel::log_event(kernel::log_level::info,
                      "discovery",
                      "relay_left",
                      {{"kind", m_kind},
                       {"host", std::string_view(relay.host)},
                       {"result", to_string(read.end)},
                       {"revision", m_position->revision},
                       {"generation", m_position->generation}});
}

object_store::client& object_feed::client_of(fleet::relay_choice const& relay)
{
    if (m_relay_client && m_relay_address == relay.address)
        return *m_relay_client;
    http::client_limits limits;
    limits.connect_timeout = m_rhythm.relay_timeout;
    limits.read_timeout = m_rhythm.relay_timeout;
    std::lock_guard const lock(m_relay_mutex);
    m_relay_address = relay.address;
    m_relay_client = std::make_unique<object_store::client>(relay.address, limits, relay_dialect());
    return *m_relay_client;
}

void object_feed::poll_store(planned_read const& planned)
{
    if (planned.reconnects)
        m_client.disconnect();
    auto const asked_at = kernel::boot_clock::now();
    bool const is_complete = !m_position.has_value();
    auto const read =
        is_complete ? m_client.list(m_kind) : m_client.watch(m_kind, *m_position, planned.wait);
    count_read("store", read.end);
    m_newest_generation.note(read.generation);
    bool const is_answered = read.end == status::ok || read.end == status::history_gone;
    m_probe.end(m_kind,
                is_answered,
                std::uniform_real_distribution<double>(0, 1)(m_random),
                kernel::boot_clock::now());
    if (read.end != status::ok)
        return handle_failure(read.end, asked_at);
    note_store_answer(m_progress, is_complete, asked_at, kernel::boot_clock::now());
    note_contact(asked_at);
    m_histories.update(m_kind, true, is_complete, read, asked_at);
    if (!is_complete)
        accept(events::read_kind::changes, read, asked_at);
    else
        accept(note_generation(read.generation) ? events::read_kind::restored_list
                                                : events::read_kind::list,
               read,
               asked_at);
    wait_for_next_read(asked_at);
}

void object_feed::wait_for_next_read(kernel::boot_time asked_at)
{
    for (;;)
    {
        auto const connection = connection_to(m_relay.get());
        auto const left =
            next_read_at(m_progress, m_rhythm, connection, asked_at) - kernel::boot_clock::now();
        bool const is_decided = connection != relay_connection::undecided;
        auto const wait = is_decided ? left : std::min(left, decltype(left)(choice_check));
        if (wait <= wait.zero() || !m_signal.wait_until(kernel::monotonic_now() + wait) ||
            is_decided)
            return;
    }
}

void object_feed::accept(events::read_kind kind,
                         object_store::list_result const& read,
                         kernel::boot_time confirmed_at)
{
    // The answers of other daemons name no generation: they hold changes of the one asked for.
    m_position = {m_generation, read.revision};
    if (kind != events::read_kind::changes || !read.objects.empty())
        deliver(m_convert(kind, read));
    if (m_confirmed)
        deliver(m_confirmed(confirmed_at));
}

bool object_feed::note_generation(std::uint64_t generation)
{
    bool const is_restored = object_store::is_other_generation(m_generation, generation);
    if (is_restored)
        kernel::log_event(
            kernel::log_level::warning,
            "discovery",
            "store_restored",
            {{"kind", m_kind}, {"generation", generation}, {"generation_before", m_generation}});
    if (generation != 0)
        m_generation = generation;
    return is_restored;
}

void object_feed::count_read(std::string_view source, status end)
{
    m_context.own_metrics()
        .find_counter("pistachiohub_discovery_reads_total",
                      {{"kind", m_kind}, {"result", to_string(end)}, {"source", source}})
        .increment();
}

void object_feed::handle_failure(status end, kernel::boot_time begun_at)
{
    if (end == status::history_gone)
    {
        kernel::log_event(kernel::log_level::info,
                          "discovery",
                          "history_gone",
                          {{"kind", m_kind},
                           {"revision", m_position ? m_position->revision : 0},
                           {"generation", m_generation}});
        m_position.reset();
        m_progress.has_list = false;
        return;
    }
    ++m_failures;
    note_store_failure(m_progress);
    note_failure(m_contact, begun_at);
    if (!m_signal.is_stopping())
        report_contact(end);
}

void object_feed::note_contact(kernel::boot_time begun_at)
{
    note_answer(m_contact, begun_at);
    if (is_store_away(m_contact))
        return;
    report_contact(status::ok);
    m_failures = 0;
}

void object_feed::report_contact(status end)
{
    bool const is_reachable = !is_store_away(m_contact);
    if (is_reachable != m_is_told_away)
        return;
    m_is_told_away = !is_reachable;
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
