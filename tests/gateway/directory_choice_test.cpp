#include "plugins/gateway/directory_choice.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

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
    CHECK(named().size() == 6);
}

// Guards against one host that gets all callers of a failure domain when the others are lost.
TEST_CASE_METHOD(directory_choice_fixture,
                 "directory_last_large_host_is_named_with_smaller_ones",
                 "[gateway]")
{
    add_hosts(1, 0.5);
    add_hosts(9, 0.1);
    CHECK(named() == std::vector<double>{0.5, 0.1, 0.1});
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

// Guards against named hosts that cannot carry what the whole domain carries.
TEST_CASE("directory_named_hosts_have_half_of_the_capacity", "[gateway]")
{
    rc::prop("named hosts",
             []()
             {
                 auto const tenths = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
                 std::vector<gateway::host_candidate> hosts;
                 double whole = 0;
                 for (auto const each : tenths)
                 {
                     hosts.push_back({each / 10.0, {}});
                     whole += hosts.back().capacity;
                 }
                 auto const named = gateway::select_by_capacity(hosts);
                 double sum = 0;
                 for (auto const& host : named)
                     sum += host.capacity;
                 RC_ASSERT(sum >= gateway::min_named_capacity * whole);
                 RC_ASSERT(named.size() >= std::min(hosts.size(), gateway::min_named_hosts));
                 auto const largest = std::max_element(tenths.begin(), tenths.end());
                 RC_ASSERT(hosts.empty() || named.front().capacity == *largest / 10.0);
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
