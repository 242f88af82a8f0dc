#include "plugins/gateway/directory_choice.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pistachiohub
{

namespace
{

/// Hosts of one failure domain; the port tells them apart.
class directory_choice_fixture
{
protected:
    std::vector<gateway::host_candidate> m_hosts;

    void add_hosts(std::size_t count, double capacity)
    {
        for (std::size_t number = 0; number < count; ++number)
            m_hosts.push_back(
                {capacity, {"10.0.0.1", static_cast<std::uint16_t>(1000 + m_hosts.size())}});
    }

    /// Returns the capacities of the named hosts.
    [[nodiscard]] std::vector<double> named() const
    {
        std::vector<double> capacities;
        for (auto const& host : gateway::select_by_capacity(m_hosts))
            capacities.push_back(host.capacity);
        return capacities;
    }
};

} // namespace

// Load pattern: two wide hosts and nine with a narrow link. Named alike, the narrow ones delay the
// requests of nine callers in eleven.
TEST_CASE_METHOD(directory_choice_fixture, "directory_small_hosts_are_not_named", "[gateway]")
{
    add_hosts(4, 0.1);
    add_hosts(2, 0.5);
    add_hosts(5, 0.1);
    CHECK(named() == std::vector<double>{0.5, 0.5});
}

// Guards against a directory that leaves out hosts for differences that callers do not notice.
TEST_CASE_METHOD(directory_choice_fixture,
                 "directory_hosts_that_are_alike_are_all_named",
                 "[gateway]")
{
    add_hosts(3, 0.2);
    add_hosts(3, 0.15);
    CHECK(named() == std::vector<double>{0.2, 0.2, 0.2, 0.15, 0.15, 0.15});
}

// Guards against small hosts that get several times their share when large hosts are lost: callers
// spread evenly over what is named.
TEST_CASE_METHOD(directory_choice_fixture,
                 "directory_one_large_host_leaves_out_no_small_one",
                 "[gateway]")
{
    add_hosts(1, 0.5);
    auto const small = GENERATE(as<std::size_t>{}, 1, 3, 4, 9);
    add_hosts(small, 0.1);
    CHECK(named().size() == 1 + small);
}

TEST_CASE_METHOD(directory_choice_fixture,
                 "directory_large_hosts_with_too_little_capacity_leave_out_no_small_one",
                 "[gateway]")
{
    add_hosts(2, 0.5);
    add_hosts(11, 0.1);
    CHECK(named().size() == 13);
}

TEST_CASE_METHOD(directory_choice_fixture, "directory_small_hosts_alone_are_named", "[gateway]")
{
    add_hosts(9, 0.1);
    CHECK(named().size() == 9);
    m_hosts.resize(1);
    CHECK(named().size() == 1);
    m_hosts.clear();
    CHECK(named().empty());
}

// Guards against named hosts that cannot carry what the whole domain carries, and against small
// hosts that are named in place of others.
TEST_CASE("directory_named_hosts_carry_the_load_of_the_domain", "[gateway]")
{
    rc::prop("named hosts",
             []()
             {
                 auto const tenths = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 20));
                 std::vector<gateway::host_candidate> hosts;
                 for (auto const each : tenths)
                     hosts.push_back({each / 10.0, {}});
                 auto const named = gateway::select_by_capacity(hosts);
                 // Whole tenths, because sums of fractions depend on their order.
                 int sum = 0;
                 int least = 20;
                 for (auto const& host : named)
                 {
                     sum += static_cast<int>(std::lround(10 * host.capacity));
                     least = std::min(least, static_cast<int>(std::lround(10 * host.capacity)));
                 }
                 RC_ASSERT(2 * sum >= std::accumulate(tenths.begin(), tenths.end(), 0));
                 RC_ASSERT(named.size() >= std::min(hosts.size(), gateway::min_named_hosts));
                 bool const leaves_out = named.size() < hosts.size();
                 RC_ASSERT(!leaves_out ||
                           2 * least >= *std::max_element(tenths.begin(), tenths.end()));
             });
}

// Guards against deployments without uploads that are served otherwise than before.
TEST_CASE("directory_rule_for_uploads_needs_a_route_for_uploads", "[gateway]")
{
    using kernel::directory_rule;
    routing::routing_document document;
    document.routes.emplace_back();
    CHECK_FALSE(gateway::names_by_capacity(directory_rule::by_capacity_for_uploads, nullptr));
    CHECK_FALSE(gateway::names_by_capacity(directory_rule::by_capacity_for_uploads, &document));
    CHECK(gateway::names_by_capacity(directory_rule::by_capacity, &document));
    document.routes.emplace_back().carries_uploads = true;
    CHECK(gateway::names_by_capacity(directory_rule::by_capacity_for_uploads, &document));
    CHECK_FALSE(gateway::names_by_capacity(directory_rule::all, &document));
}

} // namespace pistachiohub
