#include "plugins/gateway/entry_hosts.hpp"
#include "plugins/gateway/server_table.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace pistachiohub
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class server_table_fixture
{
protected:
    kernel::monotonic_time m_now{std::chrono::hours(1)};
    gateway::server_table m_table;

    server_table_fixture()
    {
        m_table.own_domain = "sve-a";
        m_table.own_region = "svealand";
        m_table.region_of_domain = {
            {"sve-a", "svealand"}, {"sve-b", "svealand"}, {"got-a", "gotaland"}};
    }

    static fleet::backend_server make_server(std::string const& id,
                                             std::string const& domain = "sve-a")
    {
        fleet::backend_server server;
        server.id = id;
        server.service = "s";
        server.address = {"10.0.0.1", 80};
        server.failure_domain = domain;
        server.slots = 4;
        server.started_at_ms = 1;
        return server;
    }

    void apply_record(fleet::backend_server const& server, bool is_complete = false)
    {
        gateway::apply(
            m_table,
            events::store_update<fleet::backend_server>{is_complete, 1, {{server.id, 1, server}}},
            m_now);
    }

    void remove(std::string const& id)
    {
        gateway::apply(
            m_table,
            events::store_update<fleet::backend_server>{false, 1, {{id, 1, std::nullopt}}},
            m_now);
    }

    [[nodiscard]] std::size_t usable_count() const
    {
        auto const servers = gateway::servers_of(m_table, "s");
        return static_cast<std::size_t>(std::count_if(servers.begin(),
                                                      servers.end(),
                                                      [this](auto const& server)
                                                      {
                                                          return gateway::is_usable(m_table,
                                                                                    *server);
                                                      }));
    }
};

class host_table_fixture
{
protected:
    static constexpr std::uint16_t relay_port = 7555;

    kernel::monotonic_time m_now{std::chrono::hours(1)};
    gateway::host_table m_table;

    host_table_fixture()
    {
        m_table.own = make_host("own", "sve-a", 0);
    }

    static fleet::entry_host
    make_host(std::string const& name, std::string const& domain, std::uint64_t report)
    {
        fleet::entry_host host;
        host.name = name;
        host.callers = {"10.0.0.1", static_cast<std::uint16_t>(1000 + name.size())};
        host.failure_domain = domain;
        host.region = domain.substr(0, 3);
        host.incarnation = 1;
        host.report = report;
        return host;
    }

    void apply_record(fleet::entry_host const& host, bool is_complete = false)
    {
        gateway::apply(
            m_table,
            events::store_update<fleet::entry_host>{is_complete, 1, {{host.name, 1, host}}},
            m_now);
    }

    void apply_restored_list(std::vector<fleet::entry_host> const& listed)
    {
        events::store_update<fleet::entry_host> update{true, 1, {}, true};
        for (auto const& host : listed)
            update.changes.push_back({host.name, 1, host});
        gateway::apply(m_table, update, m_now);
    }

    /// Adds a confirmed host that offers a relay.
    void add_live_host(std::string const& name, std::string const& domain)
    {
        auto host = make_host(name, domain, 1);
        host.relay_port = relay_port;
        apply_record(host);
        host.report = 2;
        apply_record(host);
    }

    [[nodiscard]] std::size_t listed_count(std::string const& domain) const
    {
        return gateway::choose_entry_hosts(m_table, domain.substr(0, 3), domain, false, m_now)
            .size();
    }
};

} // namespace

TEST_CASE_METHOD(server_table_fixture, "server_table_leaving_server_is_not_usable", "[gateway]")
{
    auto server = make_server("i-1");
    apply_record(server);
    CHECK(usable_count() == 1);
    server.is_leaving = true;
    apply_record(server);
    CHECK(usable_count() == 0);
}

// A restarted server must not inherit the state of its former process: load and failures that were
// recorded for it are no longer true.
TEST_CASE_METHOD(server_table_fixture, "server_table_restarted_server_has_no_history", "[gateway]")
{
    auto server = make_server("i-1");
    apply_record(server);
    auto const old = m_table.servers.at("i-1");
    old->own_in_flight = 3;
    server.started_at_ms = 2;
    apply_record(server);
    auto const fresh = m_table.servers.at("i-1");
    CHECK(old->is_removed);
    CHECK(fresh->own_in_flight == 0);
    CHECK(usable_count() == 1);
}

TEST_CASE_METHOD(server_table_fixture,
                 "server_table_entry_without_record_removes_server",
                 "[gateway]")
{
    apply_record(make_server("i-1"));
    apply_record(make_server("i-2"));
    remove("i-1");
    CHECK(usable_count() == 1);
}

TEST_CASE_METHOD(server_table_fixture, "server_table_evacuated_domain_is_not_usable", "[gateway]")
{
    apply_record(make_server("i-1", "sve-b"));
    gateway::apply(m_table,
                   events::store_update<events::evacuation>{
                       false, 1, {{"sve-b", 1, events::evacuation{"sve-b"}}}},
                   m_now);
    CHECK(usable_count() == 0);
    gateway::apply(m_table,
                   events::store_update<events::evacuation>{false, 2, {{"sve-b", 2, std::nullopt}}},
                   m_now);
    CHECK(usable_count() == 1);
}

// Guards against requests to an evacuated failure domain, when the store comes back from a copy
// that is older than the evacuation.
TEST_CASE_METHOD(server_table_fixture,
                 "server_table_evacuation_outlives_an_older_copy",
                 "[gateway]")
{
    apply_record(make_server("i-1", "sve-b"));
    events::store_update<events::evacuation> const written{
        false, 9, {{"sve-b", 9, events::evacuation{"sve-b"}}}};
    gateway::apply(m_table, written, m_now);
    gateway::apply(m_table, events::store_update<events::evacuation>{true, 5, {}, true}, m_now);
    m_now += gateway::restored_evacuation_grace - milliseconds(1);
    CHECK(gateway::end_lost_evacuations(m_table, m_now).empty());
    CHECK(usable_count() == 0);
    bool const is_written_again = GENERATE(false, true);
    if (is_written_again)
        gateway::apply(m_table, written, m_now);
    m_now += milliseconds(1);
    CHECK(gateway::end_lost_evacuations(m_table, m_now).size() == (is_written_again ? 0 : 1));
    CHECK(usable_count() == (is_written_again ? 0 : 1));
}

// Registrations expire while the store is unreachable and are renewed within two seconds of its
// recovery. Removing them at once would leave the service without any server.
TEST_CASE_METHOD(server_table_fixture,
                 "server_table_expired_entry_is_kept_during_the_grace_period",
                 "[gateway]")
{
    apply_record(make_server("i-1"));
    apply_record(make_server("i-2"));
    gateway::apply_store_state(m_table, false, m_now);
    m_now += seconds(10);
    gateway::apply_store_state(m_table, true, m_now);
    remove("i-1");
    remove("i-2");
    CHECK(usable_count() == 2);
    m_now += seconds(1);
    apply_record(make_server("i-2"));
    m_now += gateway::expired_entry_grace;
    CHECK(gateway::remove_expired(m_table, m_now) == std::vector<std::string>{"i-1"});
    CHECK(usable_count() == 1);
}

TEST_CASE_METHOD(server_table_fixture,
                 "server_table_complete_list_removes_unlisted_servers",
                 "[gateway]")
{
    apply_record(make_server("i-1"));
    auto const server = make_server("i-2");
    gateway::apply(m_table,
                   events::store_update<fleet::backend_server>{true, 1, {{server.id, 1, server}}},
                   m_now);
    CHECK(m_table.servers.size() == 1);
    CHECK(m_table.servers.contains("i-2"));
}

// Guards against requests to servers that had left, when the store comes back from a copy in which
// they are still ready.
TEST_CASE_METHOD(server_table_fixture,
                 "server_table_older_copy_makes_no_left_server_usable",
                 "[gateway]")
{
    auto server = make_server("i-1");
    server.report = 5;
    server.is_leaving = true;
    apply_record(server);
    bool const is_gone = GENERATE(false, true);
    if (is_gone)
        remove("i-1");
    auto copied = make_server("i-1");
    copied.report = 3;
    apply_record(copied, true);
    CHECK(usable_count() == 0);
    CHECK(m_table.servers.empty() == is_gone);
    // It runs on for a while. A late report does not take its leaving back.
    copied.report = 6;
    apply_record(copied);
    CHECK(m_table.servers.size() == 1);
    CHECK(usable_count() == 0);
    ++copied.started_at_ms;
    copied.report = 1;
    apply_record(copied);
    CHECK(usable_count() == 1);
}

// A server whose entry lapsed runs on and reports again; its entry in an older copy proves nothing.
TEST_CASE_METHOD(server_table_fixture,
                 "server_table_removed_server_is_used_after_a_newer_report",
                 "[gateway]")
{
    auto server = make_server("i-1");
    server.report = 5;
    apply_record(server);
    remove("i-1");
    apply_record(server, true);
    CHECK(usable_count() == 0);
    ++server.report;
    apply_record(server, GENERATE(false, true));
    CHECK(usable_count() == 1);
}

TEST_CASE_METHOD(server_table_fixture, "server_load_of_others_decays", "[gateway]")
{
    apply_record(make_server("i-1"));
    auto& server = *m_table.servers.at("i-1");
    server.own_in_flight = 1;
    gateway::record_load(server, {5, 0, {}, {}}, m_now);
    CHECK(gateway::estimated_load(server, m_now) == Approx(5));
    CHECK_FALSE(gateway::has_capacity(server, m_now));
    CHECK(gateway::estimated_load(server, m_now + milliseconds(500)) == Approx(3));
    CHECK(gateway::has_capacity(server, m_now + milliseconds(500)));
}

TEST_CASE_METHOD(server_table_fixture,
                 "server_that_failed_is_avoided_for_longer_each_time",
                 "[gateway]")
{
    apply_record(make_server("i-1"));
    auto& server = *m_table.servers.at("i-1");
    gateway::record_failure(m_table, server, gateway::server_failure::request_failed, m_now);
    auto const first = server.backoff_until - m_now;
    gateway::record_failure(m_table, server, gateway::server_failure::request_failed, m_now);
    CHECK(server.backoff_until - m_now == 2 * first);
    gateway::record_success(server);
    CHECK(server.consecutive_failures == 0);
}

// Load pattern: many servers stop at once and their addresses are reassigned to other processes.
// Each daemon kept retrying each of them until its registration had expired.
TEST_CASE_METHOD(server_table_fixture,
                 "server_replaced_at_its_address_is_avoided_until_its_registration_expires",
                 "[gateway]")
{
    apply_record(make_server("i-1"));
    auto& server = *m_table.servers.at("i-1");
    gateway::record_failure(m_table, server, gateway::server_failure::replaced, m_now);
    CHECK(server.backoff_until - m_now == m_table.registration_ttl);
}

TEST_CASE_METHOD(server_table_fixture,
                 "server_that_cannot_be_reached_is_avoided_longer_than_a_busy_one",
                 "[gateway]")
{
    apply_record(make_server("i-1"));
    apply_record(make_server("i-2"));
    auto& lost = *m_table.servers.at("i-1");
    auto& busy = *m_table.servers.at("i-2");
    gateway::record_failure(m_table, lost, gateway::server_failure::unreachable, m_now);
    gateway::record_failure(m_table, busy, gateway::server_failure::request_failed, m_now);
    CHECK(lost.backoff_until - m_now >= milliseconds(500));
    CHECK(busy.backoff_until - m_now <= milliseconds(100));
}

// Load pattern: all daemons restart at once. The first placement must not assume that this host is
// the only one while the others have not been read yet or have not reported again.
TEST_CASE_METHOD(host_table_fixture,
                 "callers_of_the_region_are_known_before_other_hosts_report",
                 "[gateway]")
{
    gateway::host_table const unknown;
    CHECK(gateway::fraction_of_hosts_in_region(unknown, 4) == Approx(0.25));
    m_table.is_loaded = true;
    apply_record(make_host("host-b", m_table.own.failure_domain, 1));
    auto near = make_host("host-c", "got-a", 1);
    near.region = "another";
    apply_record(near);
    near.name = "host-d";
    apply_record(near);
    CHECK(gateway::fraction_of_hosts_in_region(m_table, 4) == Approx(0.5));
    m_now += std::chrono::hours(1);
    CHECK(gateway::fraction_of_hosts_in_region(m_table, 4) == Approx(0.5));
}

TEST_CASE_METHOD(host_table_fixture, "directory_names_hosts_of_the_callers_domain", "[gateway]")
{
    apply_record(make_host("host-b", "sve-b", 1));
    apply_record(make_host("host-got", "got-a", 1));
    CHECK(listed_count("sve-a") == 1);
    CHECK(listed_count("sve-b") == 1);
    CHECK(listed_count("sve-c") == 2);
    CHECK(listed_count("norr-a") == 3);
}

TEST_CASE_METHOD(host_table_fixture, "directory_drops_silent_and_leaving_hosts", "[gateway]")
{
    auto host = make_host("host-b", "sve-b", 1);
    apply_record(host);
    m_now += gateway::host_timeout;
    CHECK(gateway::choose_entry_hosts(m_table, "sve", "sve-b", false, m_now).size() == 1);
    CHECK_FALSE(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
    host.report = 2;
    apply_record(host);
    CHECK(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
    host.is_leaving = true;
    apply_record(host);
    CHECK_FALSE(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
}

// The store keeps the entries of killed hosts, so an entry alone does not show that its host is
// live.
TEST_CASE_METHOD(host_table_fixture, "directory_entry_without_new_report_is_not_live", "[gateway]")
{
    auto host = make_host("host-b", "sve-b", 7);
    apply_record(host, true);
    CHECK_FALSE(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
    host.report = 8;
    apply_record(host);
    CHECK(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
}

// While the store is unreachable, no reports can be read; hosts must not be removed for that, since
// callers still need an entry host.
TEST_CASE_METHOD(host_table_fixture, "directory_keeps_hosts_while_the_store_is_away", "[gateway]")
{
    apply_record(make_host("host-b", "sve-b", 1));
    gateway::apply_store_state(m_table, false, m_now);
    m_now += seconds(60);
    CHECK(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
    gateway::apply_store_state(m_table, true, m_now);
    CHECK(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
    m_now += gateway::host_timeout;
    CHECK_FALSE(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
}

// After a restart of all daemons, each daemon must count the others before it has seen their
// reports. Otherwise each one would use the whole request rate that a cold backend server allows.
TEST_CASE_METHOD(host_table_fixture, "budget_sharing_hosts_include_unconfirmed_hosts", "[gateway]")
{
    CHECK(gateway::budget_sharing_hosts(m_table, m_now).empty());
    apply_record(make_host("host-b", "sve-b", 7), true);
    CHECK(gateway::budget_sharing_hosts(m_table, m_now) ==
          std::vector<std::string>{"host-b", "own"});
    m_now += gateway::share_timeout;
    CHECK(gateway::budget_sharing_hosts(m_table, m_now) == std::vector<std::string>{"own"});
}

// Load pattern: many hosts read the store, although calls to it are rate-limited and cost money.
TEST_CASE_METHOD(host_table_fixture,
                 "relay_first_host_of_the_domain_reads_for_the_others",
                 "[gateway]")
{
    add_live_host("a", "sve-a");
    add_live_host("b", "sve-a");
    add_live_host("z", "sve-a");
    add_live_host("aa", "got-a");
    CHECK(gateway::choose_relay(m_table, m_now).host == "a");
    CHECK(gateway::choose_relay(m_table, m_now).address.port == relay_port);
    // The next host takes over when the first one is gone.
    m_now += gateway::host_timeout;
    add_live_host("b", "sve-a");
    add_live_host("z", "sve-a");
    add_live_host("zz", "sve-a");
    CHECK(gateway::choose_relay(m_table, m_now).host == "b");
}

// Load pattern: a fleet of few hosts in many failure domains, where each domain had a reader.
// Guards also against a reader of a region that is too small for its followers, and too many of
// them.
TEST_CASE_METHOD(host_table_fixture, "relay_small_region_has_one_reader", "[gateway]")
{
    for (auto const* const name : {"b", "c", "d"})
        add_live_host(name, "sve-a");
    for (int number = 10; number < 22; ++number)
        add_live_host("h" + std::to_string(number), "sve-b");
    CHECK(gateway::choose_relay(m_table, m_now).host == "b");
    CHECK(gateway::other_readers(m_table, m_now).size() == 1);
    SECTION("hosts of little capacity keep one reader for each domain")
    {
        m_table.own.capacity = 0.1;
        for (auto& [name, host] : m_table.hosts)
            host.record.capacity = 0.1;
        CHECK(gateway::other_readers(m_table, m_now).size() == 2);
    }
    SECTION("many hosts keep one reader for each domain")
    {
        for (int number = 10; number < 20; ++number)
            add_live_host("x" + std::to_string(number), "sve-c");
        CHECK(gateway::other_readers(m_table, m_now).size() == 3);
    }
}

// Guards against calls of the store by a host that has started, and against an object that a host
// left behind and that is taken for a reader for long.
TEST_CASE_METHOD(host_table_fixture, "relay_listed_host_is_asked_before_its_report", "[gateway]")
{
    auto host = make_host("a", "sve-a", 1);
    host.relay_port = relay_port;
    apply_record(host, true);
    CHECK_FALSE(gateway::is_live(m_table, m_table.hosts.at("a"), m_now));
    CHECK(gateway::choose_relay(m_table, m_now).host == "a");
    m_now += gateway::host_timeout;
    CHECK(gateway::choose_relay(m_table, m_now).host.empty());
}

// Guards against readers that exchange totals with hosts that are no readers, or miss a reader.
TEST_CASE_METHOD(host_table_fixture, "relay_other_readers_are_the_first_of_each_group", "[gateway]")
{
    CHECK(gateway::other_readers(m_table, m_now).empty());
    for (auto const* const name : {"a", "b", "z"})
        add_live_host(name, "sve-a");
    for (int number = 10; number < 30; ++number)
        add_live_host("g" + std::to_string(number), "got-a");
    std::set<std::string> names;
    for (auto const& reader : gateway::other_readers(m_table, m_now))
    {
        CHECK(reader.address.port == relay_port);
        names.insert(reader.host);
    }
    CHECK(names.contains(gateway::choose_relay(m_table, m_now).host));
    CHECK(names == std::set<std::string>{"a", "g10", "g26"});
}

TEST_CASE_METHOD(host_table_fixture, "relay_small_domain_joins_its_region", "[gateway]")
{
    add_live_host("x", "sve-0");
    CHECK(gateway::choose_relay(m_table, m_now).host == "x");
}

// A reader on a small host must not have to serve an unlimited number of followers.
TEST_CASE_METHOD(host_table_fixture, "relay_large_domain_has_several_readers", "[gateway]")
{
    for (int number = 10; number < 10 + 15; ++number)
        add_live_host("h" + std::to_string(number), "sve-a");
    CHECK(gateway::choose_relay(m_table, m_now).host == "h10");
    add_live_host("h25", "sve-a");
    // Sixteen hosts sort before this one, so it is the first host of the next group.
    CHECK(gateway::choose_relay(m_table, m_now).host.empty());
}

TEST_CASE_METHOD(host_table_fixture, "relay_host_without_relay_port_is_not_chosen", "[gateway]")
{
    auto host = make_host("a", "sve-a", 1);
    apply_record(host);
    host.report = 2;
    apply_record(host);
    REQUIRE(gateway::is_live(m_table, m_table.hosts.at("a"), m_now));
    CHECK(gateway::choose_relay(m_table, m_now).host.empty());
}

// Followers rarely write reports themselves, so the reports of their reader keep them live. A
// report that names another incarnation of a follower must not confirm the known one.
TEST_CASE_METHOD(host_table_fixture,
                 "followers_are_kept_live_by_reports_of_their_reader",
                 "[gateway]")
{
    auto const reader_name = GENERATE(std::string("reader"), std::string("own"));
    add_live_host("follower", "sve-a");
    auto const is_same_start = GENERATE(true, false);
    m_now += gateway::host_timeout - std::chrono::milliseconds(100);
    auto reader = make_host(reader_name, "sve-a", 8);
    reader.followers = {{"follower", is_same_start ? 1U : 2U}};
    apply_record(reader);
    m_now += std::chrono::milliseconds(200);
    CHECK(gateway::is_live(m_table, m_table.hosts.at("follower"), m_now) == is_same_start);
}

// Guards against budgets that are split among too few hosts, and a directory that lacks hosts, when
// the store comes back from a copy that is older than their registrations.
TEST_CASE_METHOD(host_table_fixture,
                 "host_table_older_copy_drops_no_host_that_reported",
                 "[gateway]")
{
    add_live_host("a", "sve-a");
    add_live_host("b", "sve-a");
    apply_restored_list({make_host("a", "sve-a", 1)});
    for (auto const* const name : {"a", "b"})
        CHECK(gateway::is_live(m_table, m_table.hosts.at(name), m_now));
    CHECK(gateway::budget_sharing_hosts(m_table, m_now).size() == 3);
    CHECK(m_table.hosts.at("a").record.report == 2);
    // One that does not register again is dropped like any other that went silent.
    m_now += gateway::share_timeout;
    apply_record(make_host("a", "sve-a", 3));
    CHECK(m_table.hosts.size() == 1);
}

// Guards against a directory that names hosts that ended, since the older copy still lists them.
TEST_CASE_METHOD(host_table_fixture, "host_table_older_copy_makes_no_ended_host_live", "[gateway]")
{
    add_live_host("a", "sve-a");
    bool const is_removed = GENERATE(false, true);
    m_now += gateway::host_timeout;
    if (is_removed)
        gateway::apply(m_table,
                       events::store_update<fleet::entry_host>{false, 2, {{"a", 2, std::nullopt}}},
                       m_now);
    apply_restored_list({make_host("a", "sve-a", 1)});
    CHECK_FALSE(gateway::is_live(m_table, m_table.hosts.at("a"), m_now));
}

} // namespace pistachiohub
