#include "plugins/gateway/server_load.hpp"
#include "plugins/gateway/server_table.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace pistachiohub
{

using gateway::server_load;
using std::chrono::milliseconds;

TEST_CASE("server_load_all_figures_are_read", "[gateway]")
{
    CHECK(gateway::parse_load("3,2,8,250") == server_load{3, 2, 8, 250});
    CHECK(gateway::parse_load("3,2,8,250,7") == server_load{3, 2, 8, 250});
    CHECK(gateway::parse_load("3,2") == server_load{3, 2, {}, {}});
}

// A wrong slowdown would keep requests away from a server or draw all of them to it.
TEST_CASE("server_load_absurd_figures_are_ignored", "[gateway]")
{
    for (auto const* const slowdown : {"", "0", "x", "-100", "19", "5001", "99999999999", "1e2"})
    {
        INFO(slowdown);
        CHECK(gateway::parse_load(std::string("3,2,8,") + slowdown) == server_load{3, 2, 8, {}});
    }
    CHECK(gateway::parse_load("3,2,0,100") == server_load{3, 2, {}, 100});
    CHECK(gateway::parse_load("3,2,x,100") == server_load{3, 2, {}, 100});
    CHECK_FALSE(gateway::parse_load("70000,2,8,100"));
    CHECK_FALSE(gateway::parse_load("3,99999999999,8,100"));
    CHECK_FALSE(gateway::parse_load("3,2x,8,100"));
}

TEST_CASE("server_load_any_text_is_read_within_bounds", "[gateway]")
{
    rc::prop("figures that are read are plausible",
             [](std::string const& text)
             {
                 auto const load = gateway::parse_load(text);
                 RC_ASSERT(!load || !load->slowdown_percent ||
                           gateway::is_plausible_slowdown(*load->slowdown_percent));
             });
}

// An old report must not keep requests away from a server whose machine has recovered.
TEST_CASE("slowdown_of_an_old_report_counts_little", "[gateway]")
{
    CHECK(gateway::slowdown_factor(300, milliseconds(0)) == Approx(3));
    CHECK(gateway::slowdown_factor(300, gateway::slowdown_half_life) == Approx(2));
    CHECK(gateway::slowdown_factor(300, std::chrono::seconds(3)) == Approx(1).margin(0.01));
    CHECK(gateway::slowdown_factor({}, milliseconds(0)) == 1);
}

TEST_CASE("expected_finish_grows_with_load_and_slowdown", "[gateway]")
{
    kernel::monotonic_time const now{std::chrono::hours(1)};
    gateway::known_server server;
    server.record.slots = 4;
    CHECK(gateway::expected_finish(server, 0.2, 0, now).finish == Approx(0.2));
    gateway::record_load(server, {4, 4, 4, 200}, now);
    auto const slow = gateway::expected_finish(server, 0.2, 0, now);
    CHECK(slow.start == Approx(5 * 0.4 / 4));
    CHECK(slow.finish == Approx(slow.start + 0.4));
    gateway::record_load(server, {0, 0, 4, 50}, now);
    CHECK(gateway::expected_finish(server, 0.2, 0, now).finish == Approx(0.1));
}

} // namespace pistachiohub
