#include "plugins/discovery/feed_history.hpp"
#include "plugins/discovery/feed_plan.hpp"
#include "plugins/gateway/entry_hosts.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>

namespace pistachiohub
{

namespace
{

using discovery::history_state;
using discovery::read_source;
using discovery::relay_connection;
using kernel::boot_time;
using std::chrono::milliseconds;

boot_time const start{std::chrono::hours(1)};
constexpr auto step = milliseconds(5);
constexpr auto play_time = milliseconds(40000);
constexpr auto sweep_interval = milliseconds(500);
// Connecting, the call and the transfer of a batch.
constexpr auto store_call = milliseconds(90);
// Calls over 20 ms one way to the store, which answers in 4 ms.
constexpr double page_call_ms = 44;
constexpr double objects_of_page = 500;
constexpr double listed_bytes = 320;
// Two lists within the bound are possible: the store may forget its history during a list.
constexpr auto slow_call = milliseconds(200);
// Links are full duplex, so what a reader receives is not affected.
constexpr double share_of_slow_link = 0.7;
constexpr std::size_t domains = 6;
constexpr std::size_t hosts_of_domain = 50;
// Bytes a millisecond on links of 10 and 100 Mbit/s.
constexpr double slow_link = 1250;
constexpr double fast_link = 12500;

enum class phase
{
    idle,
    asking_store,
    waiting_for_relay,
    receiving
};

enum class trouble
{
    none,
    /// The process is stopped: connections stay open and nothing is answered.
    silent,
    /// Connections break, and no new one is accepted until the process runs again.
    restarting,
    cut_off_from_store,
    /// Calls of the store take longer, and a part of the link is left for answers.
    slow
};

struct trouble_time
{
    trouble kind = trouble::none;
    boot_time from;
    boot_time until;
};

/// A kind of objects with its bound.
struct played_kind
{
    discovery::feed_rhythm rhythm;
    milliseconds bound;
    /// Bytes of changes a millisecond to one follower.
    double changes;
    double objects;
};

struct played_host
{
    gateway::host_table table;
    std::vector<milliseconds> others_seen_after;
    milliseconds loss_seen_after;
    std::optional<std::size_t> reader;
    double link = fast_link;
    boot_time link_free_at;
    /// In the order of time, without overlap.
    std::vector<trouble_time> troubles;

    discovery::feed_progress progress;
    discovery::kind_history history;
    std::optional<std::size_t> connected_to;
    phase doing = phase::idle;
    std::size_t asked_host = 0;
    bool may_repeat = false;
    bool lists = false;
    bool is_gone = false;
    boot_time asked_at;
    boot_time wait_ends_at;
    boot_time deadline;
    /// End of the idle time or of the call.
    boot_time due_at;
    boot_time told_confirmed_at;
    milliseconds told_age{0};

    boot_time without_contact_until;
    /// Changes until this time are in force. Missing after a trouble of the host itself.
    std::optional<boot_time> in_force_until;
};

std::uint64_t revision_at(boot_time time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(time - start).count() + 1);
}

/// A fleet whose hosts learn late of each other, and whose readers fail. Domains have readers of
/// their own.
class played_fleet
{
public:
    played_fleet(played_kind const& kind, unsigned seed)
        : m_kind(kind)
        , m_random(seed)
        , m_hosts(domains * hosts_of_domain)
    {
        for (auto& host : m_hosts)
            host.link = draw(0, 9) < 4 ? slow_link : fast_link;
        for (std::size_t number = 0; number < m_hosts.size(); ++number)
            set_up(number);
    }

    /// @returns the greatest age of what was in force at a host without a trouble of its own.
    milliseconds play()
    {
        milliseconds worst{0};
        for (m_now = start; m_now < start + play_time; m_now += step)
        {
            forget_history();
            for (std::size_t number = 0; number < m_hosts.size(); ++number)
            {
                advance(number);
                auto const& in_force = m_hosts[number].in_force_until;
                if (in_force)
                    worst = std::max(worst,
                                     std::chrono::duration_cast<milliseconds>(m_now - *in_force));
            }
        }
        return worst;
    }

    std::size_t store_calls = 0;

private:
    int draw(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }

    void set_up(std::size_t number)
    {
        auto& host = m_hosts[number];
        auto const first = number - number % hosts_of_domain;
        host.table.is_loaded = true;
        for (std::size_t other = first; other < first + hosts_of_domain; ++other)
        {
            fleet::entry_host record;
            record.name = "host-" + std::to_string(1000 + other);
            record.failure_domain = std::to_string(first);
            record.relay_port = 1;
            record.capacity = m_hosts[other].link / fast_link;
            host.others_seen_after.emplace_back(draw(0, 12000));
            if (other == number)
                host.table.own = record;
            else
                host.table.hosts[record.name] = {record, {}, false, false};
        }
        host.due_at = start + milliseconds(draw(0, 300));
        host.loss_seen_after = milliseconds(draw(2000, 5000));
        bool const is_often_reader = number % hosts_of_domain % gateway::max_hosts_per_reader < 3;
        if (draw(0, 9) < (is_often_reader ? 8 : 2))
            add_troubles(host);
    }

    // Several troubles follow each other closely, as when a slow host is restarted and then does
    // not answer yet.
    void add_troubles(played_host& host)
    {
        auto from = start + milliseconds(draw(3000, 15000));
        while (from < start + play_time)
        {
            for (int number = draw(1, 3); number > 0; --number)
            {
                auto const until = from + milliseconds(draw(100, 4000));
                host.troubles.push_back({static_cast<trouble>(draw(1, 4)), from, until});
                from = until + milliseconds(draw(0, 300));
            }
            from += milliseconds(draw(2000, 20000));
        }
    }

    [[nodiscard]] trouble_time trouble_at(played_host const& host, boot_time time) const
    {
        auto const found = std::find_if(host.troubles.begin(),
                                        host.troubles.end(),
                                        [time](trouble_time const& known)
                                        {
                                            return time >= known.from && time < known.until;
                                        });
        return found == host.troubles.end() ? trouble_time{} : *found;
    }

    [[nodiscard]] trouble trouble_of(played_host const& host) const
    {
        return trouble_at(host, m_now).kind;
    }

    void forget_history()
    {
        if (m_now < m_forgets_at)
            return;
        m_oldest_revision = revision_at(m_now);
        m_forgets_at = m_now + milliseconds(draw(2000, 8000));
    }

    void sweep(std::size_t number)
    {
        auto& host = m_hosts[number];
        auto const first = number - number % hosts_of_domain;
        for (std::size_t other = first; other < first + hosts_of_domain; ++other)
        {
            auto const& peer = m_hosts[other];
            auto const found = host.table.hosts.find(peer.table.own.name);
            if (found == host.table.hosts.end())
                continue;
            bool const is_lost =
                (trouble_of(peer) == trouble::silent || trouble_of(peer) == trouble::restarting) &&
                m_now >= trouble_at(peer, m_now).from + host.loss_seen_after;
            found->second.is_confirmed =
                m_now >= start + host.others_seen_after[other - first] && !is_lost;
        }
        auto const chosen = gateway::choose_relay(host.table, kernel::monotonic_time{});
        host.reader.reset();
        for (std::size_t other = first; other < first + hosts_of_domain; ++other)
        {
            if (m_hosts[other].table.own.name == chosen.host)
                host.reader = other;
        }
    }

    void advance(std::size_t number)
    {
        auto& host = m_hosts[number];
        if ((m_now - start) % sweep_interval == milliseconds(number % 100 * 5))
            sweep(number);
        auto const own = trouble_of(host);
        if (own != trouble::none && own != trouble::slow)
        {
            host.in_force_until.reset();
            host.without_contact_until = m_now + step;
        }
        if (own == trouble::silent)
            return;
        if (own == trouble::restarting)
        {
            host.progress = {};
            host.history = {};
            host.connected_to.reset();
            host.doing = phase::idle;
            return;
        }
        if (host.doing == phase::idle && m_now >= host.due_at)
            begin_read(host);
        else if (host.doing == phase::asking_store && m_now >= host.due_at)
            end_store_call(host);
        else if (host.doing == phase::waiting_for_relay || host.doing == phase::receiving)
            follow_question(host);
    }

    [[nodiscard]] static relay_connection state_of_connection(played_host const& host)
    {
        if (!host.reader)
            return relay_connection::none;
        return host.connected_to == host.reader ? relay_connection::open : relay_connection::closed;
    }

    void begin_read(played_host& host)
    {
        auto const state = state_of_connection(host);
        auto const planned = plan_read(host.progress, m_kind.rhythm, state, m_now);
        host.asked_at = m_now;
        if (planned.source == read_source::store)
            return begin_store_call(host, planned.wait);
        host.doing = phase::waiting_for_relay;
        host.asked_host = *host.reader;
        host.wait_ends_at = m_now + planned.wait;
        host.may_repeat = state == relay_connection::open;
        host.deadline = host.wait_ends_at + m_kind.rhythm.relay_timeout;
        if (state == relay_connection::closed)
            connect(host);
    }

    void begin_store_call(played_host& host, milliseconds wait)
    {
        host.doing = phase::asking_store;
        host.lists = !host.progress.has_list;
        auto const pages = static_cast<int>(std::ceil(m_kind.objects / objects_of_page));
        store_calls += host.lists ? static_cast<std::size_t>(pages) : 1;
        if (host.lists)
            host.due_at =
                m_now + milliseconds(static_cast<int>(page_call_ms * pages +
                                                      m_kind.objects * listed_bytes / host.link));
        else if (m_kind.changes > 0 || is_gone(host))
            host.due_at = m_now + store_call;
        else
            host.due_at = m_now + store_call + wait;
        host.is_gone = is_gone(host);
        if (trouble_of(host) == trouble::slow)
            host.due_at += slow_call;
    }

    [[nodiscard]] bool is_gone(played_host const& host) const
    {
        return !host.lists && host.history.revision < m_oldest_revision;
    }

    [[nodiscard]] double link_of(played_host const& host) const
    {
        return trouble_of(host) == trouble::slow ? host.link * share_of_slow_link : host.link;
    }

    // A stopped process still gets connections from its kernel.
    void connect(played_host& host)
    {
        host.connected_to = host.asked_host;
        if (trouble_of(m_hosts[host.asked_host]) != trouble::restarting)
            return;
        host.connected_to.reset();
        host.may_repeat = false;
        host.deadline = m_now + m_kind.rhythm.relay_timeout;
    }

    void end_store_call(played_host& host)
    {
        host.doing = phase::idle;
        if (trouble_of(host) == trouble::cut_off_from_store)
        {
            host.due_at = m_now + milliseconds(draw(50, 500));
            return;
        }
        if (host.is_gone)
        {
            host.progress.has_list = false;
            host.due_at = m_now;
            return;
        }
        note(host, host.lists, true, host.asked_at, host.asked_at);
        note_store_answer(host.progress, host.lists, host.asked_at, m_now);
        host.due_at =
            next_read_at(host.progress, m_kind.rhythm, state_of_connection(host), host.asked_at);
    }

    void note(played_host& host,
              bool is_complete,
              bool is_direct,
              boot_time known_until,
              boot_time confirmed_at)
    {
        object_store::list_result read;
        read.revision = std::max(revision_at(known_until), host.history.revision);
        if (m_kind.changes > 0)
            read.objects.emplace_back();
        record(host.history, is_complete, read);
        host.history.is_direct = is_direct;
        host.history.confirmed_at = confirmed_at;
        // A host has no contact before its first read after a trouble of its own.
        if (known_until >= host.without_contact_until)
            host.in_force_until = std::max(host.in_force_until.value_or(start), known_until);
    }

    void follow_question(played_host& host)
    {
        auto& reader = m_hosts[host.asked_host];
        auto const state = trouble_of(reader);
        if (host.connected_to && state == trouble::restarting)
        {
            host.connected_to.reset();
            if (!host.may_repeat)
                return fail_question(host);
            // The client of HTTP repeats the question on a new connection.
            host.doing = phase::waiting_for_relay;
            host.may_repeat = false;
            connect(host);
        }
        if (m_now >= host.deadline)
            return fail_question(host);
        if (host.doing == phase::receiving)
            return receive(host);
        if (host.connected_to && state != trouble::silent)
            answer(host, reader);
    }

    void fail_question(played_host& host)
    {
        host.connected_to.reset();
        host.doing = phase::idle;
        host.due_at = m_now;
        note_relay_failure(host.progress, m_now);
    }

    void answer(played_host& host, played_host& reader)
    {
        auto const since = host.history.revision;
        auto const told =
            state_since(reader.history, {0, since}, m_now - m_kind.rhythm.longest_age);
        if (told == history_state::is_current && m_now < host.wait_ends_at)
            return;
        if (told == history_state::is_gone || told == history_state::is_stale)
        {
            auto const connected = host.connected_to;
            fail_question(host);
            host.connected_to = connected;
            return;
        }
        auto const news = reader.history.revision > since
                              ? static_cast<double>(reader.history.revision - since)
                              : 0;
        auto const transfer =
            milliseconds(static_cast<int>(news * m_kind.changes / link_of(reader)));
        reader.link_free_at = std::max(reader.link_free_at, m_now) + transfer;
        host.doing = phase::receiving;
        host.due_at = reader.link_free_at;
        host.told_confirmed_at = reader.history.confirmed_at;
        host.told_age = std::max(
            std::chrono::duration_cast<milliseconds>(host.asked_at - reader.history.confirmed_at),
            milliseconds(0));
    }

    void receive(played_host& host)
    {
        if (m_now < host.due_at)
            return;
        host.doing = phase::idle;
        note(host, false, false, host.told_confirmed_at, host.asked_at);
        note_relay_answer(host.progress, host.asked_at - host.told_age);
    }

    played_kind m_kind;
    std::mt19937 m_random;
    std::vector<played_host> m_hosts;
    boot_time m_now = start;
    boot_time m_forgets_at = start + milliseconds(8000);
    std::uint64_t m_oldest_revision = 0;
};

// With all seeds the test timed out at 120 s under AddressSanitizer. The release build plays them
// all.
#ifdef NDEBUG
constexpr unsigned end_of_seeds = 5;
#else
constexpr unsigned end_of_seeds = 2;
#endif

} // namespace

// Guards against news that reaches a follower late because its reader was slow, then failed: what a
// slow answer says is old when it arrives, and the next question costs its whole timeout.
TEST_CASE("relay_fleet_of_300_hosts_has_changes_in_force_within_the_bound", "[discovery]")
{
    kernel::gateway_bounds bounds;
    bounds.server_drain = milliseconds(3000);
    bounds.configuration_apply = milliseconds(3000);
    bounds.evacuation = milliseconds(5000);
    // 2,997 servers make 957 KB a second for 15 followers.
    auto const kind = GENERATE_REF(
        played_kind{discovery::server_rhythm(bounds), bounds.server_drain, 64, 2997},
        played_kind{discovery::configuration_rhythm(bounds), bounds.configuration_apply, 0, 1},
        played_kind{discovery::evacuation_rhythm(bounds), bounds.evacuation, 0, 6});
    auto const seed = GENERATE(range(1U, end_of_seeds));
    played_fleet fleet(kind, seed);
    CAPTURE(seed, kind.bound.count(), kind.changes);
    auto const worst = fleet.play();
    CAPTURE(fleet.store_calls);
    CHECK(worst <= kind.bound);
}

} // namespace pistachiohub
