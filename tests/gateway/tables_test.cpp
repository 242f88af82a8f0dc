#include "plugins/gateway/entry_hosts.hpp"
#include "plugins/gateway/server_table.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

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

    void read(fleet::backend_server const& server)
    {
        gateway::apply(
            m_table,
            events::store_update<fleet::backend_server>{false, 1, {{server.id, 1, server}}},
            m_now);
    }

    void remove(std::string const& id)
    {
        gateway::apply(
            m_table,
            events::store_update<fleet::backend_server>{false, 1, {{id, 1, std::nullopt}}},
            m_now);
    }

    [[nodiscard]] std::size_t usable() const
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

    void read(fleet::entry_host const& host, bool is_complete = false)
    {
        gateway::apply(
            m_table,
            events::store_update<fleet::entry_host>{is_complete, 1, {{host.name, 1, host}}},
            m_now);
    }

    /// Adds a host that passes on what it reads and whose reports were seen.
    void add_live_host(std::string const& name, std::string const& domain)
    {
        auto host = make_host(name, domain, 1);
        host.relay_port = relay_port;
        read(host);
        host.report = 2;
        read(host);
    }

    [[nodiscard]] std::size_t listed(std::string const& domain) const
    {
        return gateway::choose_entry_hosts(m_table, domain.substr(0, 3), domain, m_now).size();
    }
};

} // namespace

TEST_CASE_METHOD(server_table_fixture, "server_table_leaving_server_is_not_usable", "[gateway]")
{
    auto server = make_server("i-1");
    read(server);
    CHECK(usable() == 1);
    server.is_leaving = true;
    read(server);
    CHECK(usable() == 0);
}

// An address is used again by other services, and what was known of the old process is wrong.
TEST_CASE_METHOD(server_table_fixture, "server_table_new_start_is_another_server", "[gateway]")
{
    auto server = make_server("i-1");
    read(server);
    auto const old = m_table.servers.at("i-1");
    old->own_running = 3;
    server.started_at_ms = 2;
    read(server);
    auto const fresh = m_table.servers.at("i-1");
    CHECK(old->is_gone);
    CHECK(fresh->own_running == 0);
    CHECK(usable() == 1);
}

TEST_CASE_METHOD(server_table_fixture, "server_table_unreadable_entry_names_no_server", "[gateway]")
{
    read(make_server("i-1"));
    read(make_server("i-2"));
    remove("i-1");
    CHECK(usable() == 1);
}

TEST_CASE_METHOD(server_table_fixture, "server_table_evacuated_domain_is_not_usable", "[gateway]")
{
    read(make_server("i-1", "sve-b"));
    gateway::apply(m_table,
                   events::store_update<events::evacuation>{
                       false, 1, {{"sve-b", 1, events::evacuation{"sve-b"}}}});
    CHECK(usable() == 0);
    gateway::apply(
        m_table, events::store_update<events::evacuation>{false, 2, {{"sve-b", 2, std::nullopt}}});
    CHECK(usable() == 1);
}

// Entries lapse while the store is away and come back within two seconds of its return. Dropping
// them at once would leave no server at all.
TEST_CASE_METHOD(server_table_fixture,
                 "server_table_lapsed_entry_is_kept_until_it_had_time_to_return",
                 "[gateway]")
{
    read(make_server("i-1"));
    read(make_server("i-2"));
    gateway::apply_contact(m_table, false, m_now);
    m_now += seconds(10);
    gateway::apply_contact(m_table, true, m_now);
    remove("i-1");
    remove("i-2");
    CHECK(usable() == 2);
    m_now += seconds(1);
    read(make_server("i-2"));
    m_now += gateway::lapsed_entry_grace;
    CHECK(gateway::expire_missing(m_table, m_now) == std::vector<std::string>{"i-1"});
    CHECK(usable() == 1);
}

TEST_CASE_METHOD(server_table_fixture, "server_table_complete_list_drops_the_others", "[gateway]")
{
    read(make_server("i-1"));
    auto const server = make_server("i-2");
    gateway::apply(m_table,
                   events::store_update<fleet::backend_server>{true, 1, {{server.id, 1, server}}},
                   m_now);
    CHECK(m_table.servers.size() == 1);
    CHECK(m_table.servers.contains("i-2"));
}

TEST_CASE_METHOD(server_table_fixture, "server_load_of_others_decays", "[gateway]")
{
    read(make_server("i-1"));
    auto& server = *m_table.servers.at("i-1");
    server.own_running = 1;
    gateway::record_load(server, 5, m_now);
    CHECK(gateway::estimated_load(server, m_now) == Approx(5));
    CHECK_FALSE(gateway::has_room(server, m_now));
    CHECK(gateway::estimated_load(server, m_now + milliseconds(500)) == Approx(3));
    CHECK(gateway::has_room(server, m_now + milliseconds(500)));
}

TEST_CASE_METHOD(server_table_fixture,
                 "server_that_failed_is_avoided_for_longer_each_time",
                 "[gateway]")
{
    read(make_server("i-1"));
    auto& server = *m_table.servers.at("i-1");
    gateway::record_failure(m_table, server, gateway::server_failure::request_failed, m_now);
    auto const first = server.avoided_until - m_now;
    gateway::record_failure(m_table, server, gateway::server_failure::request_failed, m_now);
    CHECK(server.avoided_until - m_now == 2 * first);
    gateway::record_success(server);
    CHECK(server.failures_in_row == 0);
}

// Load pattern: many servers end at once and their addresses go to others. Each daemon asked each
// of them again and again until their registrations lapsed.
TEST_CASE_METHOD(server_table_fixture,
                 "server_replaced_at_its_address_is_avoided_until_its_entry_lapses",
                 "[gateway]")
{
    read(make_server("i-1"));
    auto& server = *m_table.servers.at("i-1");
    gateway::record_failure(m_table, server, gateway::server_failure::replaced, m_now);
    CHECK(server.avoided_until - m_now == m_table.entry_lapse);
}

TEST_CASE_METHOD(server_table_fixture,
                 "server_that_cannot_be_reached_is_avoided_longer_than_a_busy_one",
                 "[gateway]")
{
    read(make_server("i-1"));
    read(make_server("i-2"));
    auto& lost = *m_table.servers.at("i-1");
    auto& busy = *m_table.servers.at("i-2");
    gateway::record_failure(m_table, lost, gateway::server_failure::unreachable, m_now);
    gateway::record_failure(m_table, busy, gateway::server_failure::request_failed, m_now);
    CHECK(lost.avoided_until - m_now >= milliseconds(500));
    CHECK(busy.avoided_until - m_now <= milliseconds(100));
}

// Load pattern: all daemons start again at once. The first placement must not take this host for
// the only one, while the others are not known yet or have not reported again.
TEST_CASE_METHOD(host_table_fixture,
                 "callers_of_the_region_are_known_before_other_hosts_report",
                 "[gateway]")
{
    gateway::host_table const unknown;
    CHECK(gateway::part_of_hosts_in_region(unknown, 4) == Approx(0.25));
    m_table.has_list = true;
    read(make_host("host-b", m_table.own.failure_domain, 1));
    auto near = make_host("host-c", "got-a", 1);
    near.region = "another";
    read(near);
    near.name = "host-d";
    read(near);
    CHECK(gateway::part_of_hosts_in_region(m_table, 4) == Approx(0.5));
    m_now += std::chrono::hours(1);
    CHECK(gateway::part_of_hosts_in_region(m_table, 4) == Approx(0.5));
}

TEST_CASE_METHOD(host_table_fixture, "directory_names_hosts_of_the_callers_domain", "[gateway]")
{
    read(make_host("host-b", "sve-b", 1));
    read(make_host("host-got", "got-a", 1));
    CHECK(listed("sve-a") == 1);
    CHECK(listed("sve-b") == 1);
    CHECK(listed("sve-c") == 2);
    CHECK(listed("norr-a") == 3);
}

TEST_CASE_METHOD(host_table_fixture, "directory_drops_silent_and_leaving_hosts", "[gateway]")
{
    auto host = make_host("host-b", "sve-b", 1);
    read(host);
    m_now += gateway::host_silence;
    CHECK(gateway::choose_entry_hosts(m_table, "sve", "sve-b", m_now).size() == 1);
    CHECK_FALSE(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
    host.report = 2;
    read(host);
    CHECK(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
    host.is_leaving = true;
    read(host);
    CHECK_FALSE(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
}

// The store keeps the entries of hosts that were killed.
TEST_CASE_METHOD(host_table_fixture, "directory_entry_without_new_report_is_not_named", "[gateway]")
{
    auto host = make_host("host-b", "sve-b", 7);
    read(host, true);
    CHECK_FALSE(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
    host.report = 8;
    read(host);
    CHECK(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
}

// While the store is away, silence proves nothing, and callers still need an entry host.
TEST_CASE_METHOD(host_table_fixture, "directory_keeps_hosts_while_the_store_is_away", "[gateway]")
{
    read(make_host("host-b", "sve-b", 1));
    gateway::apply_contact(m_table, false, m_now);
    m_now += seconds(60);
    CHECK(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
    gateway::apply_contact(m_table, true, m_now);
    CHECK(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
    m_now += gateway::host_silence;
    CHECK_FALSE(gateway::is_live(m_table, m_table.hosts.at("host-b"), m_now));
}

// After all daemons start again, each one must count the others before it has seen them report:
// otherwise each takes the whole rate of a cold backend server.
TEST_CASE_METHOD(host_table_fixture, "sharing_hosts_count_those_that_may_live", "[gateway]")
{
    CHECK(gateway::sharing_hosts(m_table, m_now).empty());
    read(make_host("host-b", "sve-b", 7), true);
    CHECK(gateway::sharing_hosts(m_table, m_now) == std::vector<std::string>{"host-b", "own"});
    m_now += gateway::share_silence;
    CHECK(gateway::sharing_hosts(m_table, m_now) == std::vector<std::string>{"own"});
}

// Load pattern: many hosts read the store, whose calls are limited and priced.
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
    // The next one takes over when the first one is gone.
    m_now += gateway::host_silence;
    add_live_host("b", "sve-a");
    add_live_host("z", "sve-a");
    add_live_host("zz", "sve-a");
    CHECK(gateway::choose_relay(m_table, m_now).host == "b");
}

TEST_CASE_METHOD(host_table_fixture, "relay_small_domain_joins_its_region", "[gateway]")
{
    add_live_host("x", "sve-0");
    CHECK(gateway::choose_relay(m_table, m_now).host == "x");
}

// One reader must not answer any number of others on a small host.
TEST_CASE_METHOD(host_table_fixture, "relay_large_domain_has_several_readers", "[gateway]")
{
    for (int number = 10; number < 10 + 15; ++number)
        add_live_host("h" + std::to_string(number), "sve-a");
    CHECK(gateway::choose_relay(m_table, m_now).host == "h10");
    add_live_host("h25", "sve-a");
    // Sixteen come before this host, so that it is the first of a group of its own.
    CHECK(gateway::choose_relay(m_table, m_now).host.empty());
}

TEST_CASE_METHOD(host_table_fixture, "relay_host_without_relay_is_not_asked", "[gateway]")
{
    auto host = make_host("a", "sve-a", 1);
    read(host);
    host.report = 2;
    read(host);
    REQUIRE(gateway::is_live(m_table, m_table.hosts.at("a"), m_now));
    CHECK(gateway::choose_relay(m_table, m_now).host.empty());
}

// Followers report rarely themselves. A restarted follower must not pass as the one that was seen.
TEST_CASE_METHOD(host_table_fixture, "followers_live_by_the_reports_of_their_reader", "[gateway]")
{
    auto const reader_name = GENERATE(std::string("reader"), std::string("own"));
    add_live_host("follower", "sve-a");
    auto const is_same_start = GENERATE(true, false);
    m_now += gateway::host_silence - std::chrono::milliseconds(100);
    auto reader = make_host(reader_name, "sve-a", 8);
    reader.followers = {{"follower", is_same_start ? 1U : 2U}};
    read(reader);
    m_now += std::chrono::milliseconds(200);
    CHECK(gateway::is_live(m_table, m_table.hosts.at("follower"), m_now) == is_same_start);
}

} // namespace pistachiohub
