#include "plugins/gateway/affinity.hpp"
#include "plugins/gateway/load_report.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace pistachiohub
{

namespace
{

using std::chrono::milliseconds;

gateway::server_load load_of(std::uint32_t running)
{
    return {running, 0, {}, {}};
}

} // namespace

/// The server table of one daemon, with servers `i-1` and `i-2`.
class shared_load_fixture
{
protected:
    kernel::monotonic_time m_now{std::chrono::hours(1)};
    gateway::server_table m_table;

    shared_load_fixture()
    {
        add("i-1");
        add("i-2");
    }

    void add(std::string const& id)
    {
        fleet::backend_server server;
        server.id = id;
        server.service = "s";
        server.slots = 4;
        gateway::apply(m_table,
                       events::store_update<fleet::backend_server>{false, 1, {{id, 1, server}}},
                       m_now);
    }

    [[nodiscard]] gateway::known_server& server(std::string const& id)
    {
        return *m_table.servers.at(id);
    }

    [[nodiscard]] std::vector<gateway::shared_load> collect(gateway::load_source source)
    {
        return gateway::collect_loads(m_table, source, m_now - milliseconds(500), m_now);
    }
};

TEST_CASE("load_datagrams_decode_to_the_encoded_loads", "[gateway]")
{
    rc::prop("decoding returns the encoded loads, in datagrams of bounded size",
             []()
             {
                 std::vector<gateway::shared_load> loads;
                 for (auto const number : *rc::gen::container<std::vector<std::uint64_t>>(
                          rc::gen::arbitrary<std::uint64_t>()))
                 {
                     gateway::shared_load load;
                     load.server_hash = number;
                     load.load.running = static_cast<std::uint16_t>(number >> 7);
                     load.load.waiting = static_cast<std::uint16_t>(number >> 3);
                     if (number % 3 != 0)
                         load.load.slots = 1 + number % 64;
                     if (number % 5 != 0)
                         load.load.slowdown_percent = 20 + number % 4980;
                     load.age = milliseconds(number % 65536);
                     loads.push_back(load);
                 }
                 std::vector<gateway::shared_load> read;
                 for (auto const& datagram : gateway::encode_loads(loads))
                 {
                     RC_ASSERT(datagram.size() <= 1400U);
                     auto const decoded = gateway::decode_loads(datagram);
                     RC_ASSERT(decoded.has_value());
                     read.insert(read.end(), decoded->begin(), decoded->end());
                 }
                 RC_ASSERT(read.size() == loads.size());
                 for (std::size_t position = 0; position < loads.size(); ++position)
                 {
                     RC_ASSERT(read[position].server_hash == loads[position].server_hash);
                     RC_ASSERT(read[position].load == loads[position].load);
                     RC_ASSERT(read[position].age == loads[position].age);
                 }
             });
}

TEST_CASE("load_datagrams_many_loads_are_split", "[gateway]")
{
    std::vector<gateway::shared_load> const loads(2 * gateway::max_loads_per_datagram + 1);
    CHECK(gateway::encode_loads(loads).size() == 3);
    CHECK(gateway::encode_loads({}).size() == 1);
}

// Any sender may send arbitrary bytes to the open port.
TEST_CASE("load_datagrams_malformed_or_other_version_are_rejected", "[gateway]")
{
    auto const whole = gateway::encode_loads(std::vector<gateway::shared_load>(1)).front();
    CHECK_FALSE(gateway::decode_loads(""));
    CHECK_FALSE(gateway::decode_loads(std::string("\x03") + whole.substr(1)));
    CHECK_FALSE(gateway::decode_loads(whole.substr(0, whole.size() - 1)));
    CHECK_FALSE(
        gateway::decode_loads(whole + std::string(18 * gateway::max_loads_per_datagram, 'x')));
}

// Daemons of the version before run during an upgrade.
TEST_CASE("load_datagrams_of_version_1_are_read", "[gateway]")
{
    std::string const entry("\x07\0\0\0\0\0\0\0\x09\0\x28\0", 12);
    auto const loads = gateway::decode_loads("\x01" + entry);
    REQUIRE(loads);
    REQUIRE(loads->size() == 1);
    CHECK(loads->front().server_hash == 7);
    CHECK(loads->front().load == load_of(9));
    CHECK(loads->front().age == milliseconds(40));
    std::string longest("\x01");
    for (std::size_t count = 0; count < gateway::max_loads_per_datagram_of_version_1; ++count)
        longest += entry;
    CHECK(gateway::decode_loads(longest));
    CHECK_FALSE(gateway::decode_loads(longest + entry));
    CHECK_FALSE(gateway::decode_loads(longest + "x"));
}

TEST_CASE("load_datagrams_any_bytes_do_no_harm", "[gateway]")
{
    rc::prop("arbitrary bytes are decoded or rejected",
             [](std::string const& bytes)
             {
                 auto const loads = gateway::decode_loads(bytes);
                 auto const entry_bytes = bytes.starts_with('\x01') ? 12U : 18U;
                 RC_ASSERT(!loads || 1 + entry_bytes * loads->size() == bytes.size());
             });
}

// Load pattern: many entry hosts send requests to the same servers. This host has sent the server
// no request for seconds and would consider it idle without the shared load.
TEST_CASE_METHOD(shared_load_fixture,
                 "shared_load_of_a_full_server_leaves_no_capacity",
                 "[gateway]")
{
    CHECK(gateway::has_capacity(server("i-1"), m_now));
    std::vector<gateway::shared_load> const received{
        {gateway::hash_text("i-1"), load_of(9), milliseconds(40)},
        {gateway::hash_text("gone"), load_of(2), {}}};
    CHECK(gateway::apply_loads(m_table, received, m_now) == 1);
    CHECK_FALSE(gateway::has_capacity(server("i-1"), m_now));
    CHECK(gateway::has_capacity(server("i-2"), m_now));
}

TEST_CASE_METHOD(shared_load_fixture, "shared_load_counts_own_requests_once", "[gateway]")
{
    server("i-1").own_in_flight = 2;
    std::vector<gateway::shared_load> const received{
        {gateway::hash_text("i-1"), load_of(3), milliseconds(0)}};
    gateway::apply_loads(m_table, received, m_now);
    CHECK(gateway::estimated_load(server("i-1"), m_now) == Approx(3));
}

TEST_CASE_METHOD(shared_load_fixture,
                 "shared_load_older_than_the_known_one_is_ignored",
                 "[gateway]")
{
    gateway::record_load(server("i-1"), load_of(1), m_now);
    std::vector<gateway::shared_load> received{
        {gateway::hash_text("i-1"), load_of(9), milliseconds(100)}};
    CHECK(gateway::apply_loads(m_table, received, m_now) == 0);
    // A load that this daemon sent itself returns from the reader a few milliseconds later.
    received.front().age = milliseconds(0);
    CHECK(gateway::apply_loads(m_table, received, m_now + milliseconds(5)) == 0);
    CHECK(gateway::apply_loads(m_table, received, m_now + milliseconds(100)) == 1);
    received.front().age = gateway::max_shared_load_age;
    CHECK(gateway::apply_loads(m_table, received, m_now + std::chrono::seconds(9)) == 0);
}

// A follower sends only loads that servers reported to it, so that loads do not circulate between
// daemons; a reader sends all loads.
TEST_CASE_METHOD(shared_load_fixture,
                 "shared_load_of_others_is_sent_only_by_the_reader",
                 "[gateway]")
{
    gateway::record_load(server("i-1"), load_of(3), m_now);
    std::vector<gateway::shared_load> const received{
        {gateway::hash_text("i-2"), load_of(5), milliseconds(30)}};
    gateway::apply_loads(m_table, received, m_now);
    auto const own = collect(gateway::load_source::own);
    REQUIRE(own.size() == 1);
    CHECK(own[0].server_hash == gateway::hash_text("i-1"));
    CHECK(own[0].load.running == 3);
    auto const all = collect(gateway::load_source::all);
    CHECK(all.size() == 2);
    for (auto const& load : all)
        CHECK(load.age == milliseconds(load.load.running == 5 ? 30 : 0));
    CHECK(gateway::collect_loads(m_table, gateway::load_source::all, m_now, m_now).empty());
}

// A server that is registered again under a known id is another process. It must not inherit the
// load of the former one.
TEST_CASE_METHOD(shared_load_fixture, "shared_load_of_a_removed_server_is_forgotten", "[gateway]")
{
    gateway::apply(
        m_table,
        events::store_update<fleet::backend_server>{false, 2, {{"i-1", 2, std::nullopt}}},
        m_now);
    std::vector<gateway::shared_load> const received{
        {gateway::hash_text("i-1"), load_of(9), milliseconds(0)}};
    CHECK(gateway::apply_loads(m_table, received, m_now) == 0);
    add("i-1");
    CHECK(gateway::has_capacity(server("i-1"), m_now));
}

} // namespace pistachiohub
