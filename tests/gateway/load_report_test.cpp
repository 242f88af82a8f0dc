#include "plugins/gateway/affinity.hpp"
#include "plugins/gateway/load_report.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace pistachiohub
{

namespace
{

using std::chrono::milliseconds;

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

TEST_CASE("load_datagrams_any_loads_arrive_as_they_were", "[gateway]")
{
    rc::prop("decoding gives back what was encoded, in datagrams of bounded size",
             []()
             {
                 std::vector<gateway::shared_load> loads;
                 for (auto const number : *rc::gen::container<std::vector<std::uint64_t>>(
                          rc::gen::arbitrary<std::uint64_t>()))
                     loads.push_back({number,
                                      static_cast<std::uint16_t>(number >> 7),
                                      milliseconds(number % 65536)});
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
                     RC_ASSERT(read[position].requests == loads[position].requests);
                     RC_ASSERT(read[position].age == loads[position].age);
                 }
             });
}

TEST_CASE("load_datagrams_many_loads_are_split", "[gateway]")
{
    std::vector<gateway::shared_load> const loads(2 * gateway::most_loads_in_datagram + 1);
    CHECK(gateway::encode_loads(loads).size() == 3);
    CHECK(gateway::encode_loads({}).size() == 1);
}

// Anything may arrive at an open port.
TEST_CASE("load_datagrams_of_another_form_are_refused", "[gateway]")
{
    auto const whole = gateway::encode_loads(std::vector<gateway::shared_load>(1)).front();
    CHECK_FALSE(gateway::decode_loads(""));
    CHECK_FALSE(gateway::decode_loads(std::string("\x02") + whole.substr(1)));
    CHECK_FALSE(gateway::decode_loads(whole.substr(0, whole.size() - 1)));
    CHECK_FALSE(
        gateway::decode_loads(whole + std::string(12 * gateway::most_loads_in_datagram, 'x')));
}

TEST_CASE("load_datagrams_any_bytes_do_no_harm", "[gateway]")
{
    rc::prop("any bytes are read or refused",
             [](std::string const& bytes)
             {
                 auto const loads = gateway::decode_loads(bytes);
                 RC_ASSERT(!loads || 1 + 12 * loads->size() == bytes.size());
             });
}

// Load pattern: many entry hosts before the same servers. This host has sent the server nothing for
// seconds, and would take it as idle.
TEST_CASE_METHOD(shared_load_fixture, "shared_load_of_a_full_server_leaves_no_room", "[gateway]")
{
    CHECK(gateway::has_capacity(server("i-1"), m_now));
    std::vector<gateway::shared_load> const told{{gateway::hash_text("i-1"), 9, milliseconds(40)},
                                                 {gateway::hash_text("gone"), 2, {}}};
    CHECK(gateway::apply_loads(m_table, told, m_now) == 1);
    CHECK_FALSE(gateway::has_capacity(server("i-1"), m_now));
    CHECK(gateway::has_capacity(server("i-2"), m_now));
}

TEST_CASE_METHOD(shared_load_fixture, "shared_load_counts_own_requests_once", "[gateway]")
{
    server("i-1").own_in_flight = 2;
    std::vector<gateway::shared_load> const told{{gateway::hash_text("i-1"), 3, milliseconds(0)}};
    gateway::apply_loads(m_table, told, m_now);
    CHECK(gateway::estimated_load(server("i-1"), m_now) == Approx(3));
}

TEST_CASE_METHOD(shared_load_fixture,
                 "shared_load_older_than_the_known_one_is_ignored",
                 "[gateway]")
{
    gateway::record_load(server("i-1"), 1, m_now);
    std::vector<gateway::shared_load> told{{gateway::hash_text("i-1"), 9, milliseconds(100)}};
    CHECK(gateway::apply_loads(m_table, told, m_now) == 0);
    // What this daemon told itself comes back a few milliseconds later.
    told.front().age = milliseconds(0);
    CHECK(gateway::apply_loads(m_table, told, m_now + milliseconds(5)) == 0);
    CHECK(gateway::apply_loads(m_table, told, m_now + milliseconds(100)) == 1);
    told.front().age = gateway::oldest_shared_load;
    CHECK(gateway::apply_loads(m_table, told, m_now + std::chrono::seconds(9)) == 0);
}

// A follower tells only what it heard itself, so that nothing circles; a reader tells everything.
TEST_CASE_METHOD(shared_load_fixture, "shared_load_of_others_is_told_by_the_reader", "[gateway]")
{
    gateway::record_load(server("i-1"), 3, m_now);
    std::vector<gateway::shared_load> const told{{gateway::hash_text("i-2"), 5, milliseconds(30)}};
    gateway::apply_loads(m_table, told, m_now);
    auto const own = collect(gateway::load_source::own);
    REQUIRE(own.size() == 1);
    CHECK(own[0].server_hash == gateway::hash_text("i-1"));
    CHECK(own[0].requests == 3);
    auto const all = collect(gateway::load_source::all);
    CHECK(all.size() == 2);
    for (auto const& load : all)
        CHECK(load.age == milliseconds(load.requests == 5 ? 30 : 0));
    CHECK(gateway::collect_loads(m_table, gateway::load_source::all, m_now, m_now).empty());
}

// Another process under a known id has nothing of the load that the former one had.
TEST_CASE_METHOD(shared_load_fixture, "shared_load_of_a_removed_server_is_forgotten", "[gateway]")
{
    gateway::apply(
        m_table,
        events::store_update<fleet::backend_server>{false, 2, {{"i-1", 2, std::nullopt}}},
        m_now);
    std::vector<gateway::shared_load> const told{{gateway::hash_text("i-1"), 9, milliseconds(0)}};
    CHECK(gateway::apply_loads(m_table, told, m_now) == 0);
    add("i-1");
    CHECK(gateway::has_capacity(server("i-1"), m_now));
}

} // namespace pistachiohub
