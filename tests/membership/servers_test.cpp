#include "plugins/membership/credits.hpp"
#include "plugins/membership/roles.hpp"
#include "plugins/membership/servers.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

namespace pistachiohub
{

namespace
{

using namespace std::chrono_literals;
using membership::server_change;
using view::member_state;

kernel::monotonic_time const start{1h};

class server_fixture
{
protected:
    server_fixture()
    {
        std::ignore = list(false, start);
    }

    server_change list(bool is_leaving, kernel::monotonic_time now)
    {
        return membership::apply_server_list(
            m_table, {{"server", "10.0.0.1", 80, "balance", is_leaving}}, now);
    }

    server_change observe(bool is_reachable, bool is_leaving, kernel::monotonic_time now)
    {
        return membership::apply_observation(
            m_table, {"server", now, is_reachable, is_leaving, -1}, now);
    }

    [[nodiscard]] membership::server_record const& server() const
    {
        return m_table.servers.at(0);
    }

    membership::server_table m_table;
};

} // namespace

// I6: any of list, answer and probe ends new work at once; a lagging one must not restart it.
TEST_CASE_METHOD(server_fixture, "server_leaving_by_answer_outlives_stale_list", "[membership]")
{
    CHECK(observe(true, true, start + 1s) == server_change::state);
    CHECK(server().state == member_state::leaving);
    CHECK(list(false, start + 2s) == server_change::none);
    CHECK(server().state == member_state::leaving);
    std::ignore = observe(true, false, start + 1500ms);
    CHECK(server().state == member_state::leaving);
    std::ignore = observe(true, false, start + 4s);
    CHECK(server().state == member_state::live);
    CHECK(server().live_since == start + 4s);
}

TEST_CASE_METHOD(server_fixture, "server_leaving_by_list_outlives_live_answers", "[membership]")
{
    CHECK(list(true, start + 1s) == server_change::state);
    std::ignore = observe(true, false, start + 5s);
    CHECK(server().state == member_state::leaving);
    std::ignore = list(false, start + 6s);
    CHECK(server().state == member_state::leaving);
    std::ignore = observe(true, false, start + 7s);
    CHECK(server().state == member_state::live);
}

TEST_CASE_METHOD(server_fixture, "server_unlisted_leaves_then_is_removed", "[membership]")
{
    CHECK(membership::apply_server_list(m_table, {}, start + 1s) == server_change::state);
    CHECK(server().state == member_state::leaving);
    CHECK_FALSE(membership::remove_unlisted_servers(m_table, start + 60s));
    CHECK(membership::remove_unlisted_servers(m_table, start + 61s));
    CHECK(m_table.positions.empty());
}

// One refused connection may be the connection limit; two in a row are a dead server.
TEST_CASE_METHOD(server_fixture, "server_unreachable_twice_is_silent_until_reached", "[membership]")
{
    CHECK(server().live_since == kernel::monotonic_time{});
    CHECK(observe(false, false, start + 1s) == server_change::none);
    CHECK(observe(false, false, start + 2s) == server_change::state);
    CHECK(server().state == member_state::silent);
    CHECK(observe(true, false, start + 1500ms) == server_change::none);
    CHECK(observe(true, false, start + 3s) == server_change::state);
    CHECK(server().live_since == start + 3s);
}

// I2: offers to several daemons must not add up to more than the spare slots.
TEST_CASE("split_credits_any_recipients_sums_to_spare", "[membership]")
{
    rc::prop("the credits of one round sum to the spare slots",
             []()
             {
                 auto const slots = *rc::gen::inRange<std::uint32_t>(0, 100);
                 auto const recipients = *rc::gen::inRange<std::size_t>(1, 20);
                 auto const round = *rc::gen::arbitrary<std::uint64_t>();
                 std::vector<messages::service_credit> const spare{{"balance", slots}};
                 std::uint32_t sum = 0;
                 for (std::size_t recipient = 0; recipient < recipients; ++recipient)
                 {
                     for (auto const& credit :
                          membership::split_credits(spare, recipients, recipient, round))
                         sum += credit.slots;
                 }
                 RC_ASSERT(sum == slots);
             });
}

// At target size a daemon cannot send to every host; each one must still get its turn.
TEST_CASE("next_targets_large_fleet_stays_bounded_and_covers_domain", "[membership]")
{
    membership::member_table table;
    table.own_name = "own";
    for (int domain = 0; domain < 148; ++domain)
    {
        events::host_list_received list;
        list.failure_domain = "domain-" + std::to_string(domain);
        for (int host = 0; host < 54; ++host)
            list.entry_hosts.push_back(
                {list.failure_domain + "-h" + std::to_string(host), "10.0.0.1", 1, 2, 3, false});
        membership::apply_host_list(table, list, start);
    }
    membership::turn_cursors cursors;
    std::map<std::string, int> counts;
    for (int round = 0; round < 7; ++round)
    {
        auto const targets = membership::next_targets(table, "domain-0", true, cursors);
        CHECK(targets.size() <= 12);
        for (auto const& target : targets)
            ++counts[target];
    }
    for (int host = 0; host < 54; ++host)
        CHECK(counts["domain-0-h" + std::to_string(host)] >= 1);
    CHECK(counts.size() >= 54 + 16);
    CHECK(membership::next_targets(table, "domain-0", false, cursors).size() == 8);
}

} // namespace pistachiohub
