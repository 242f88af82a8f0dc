#include "tests/gateway/dispatcher_fixture.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

constexpr unsigned http_not_found = 404;
constexpr unsigned http_unavailable = 503;

class unreadable_configuration_fixture : public gateway_test::dispatcher_fixture
{
protected:
    unreadable_configuration_fixture()
    {
        add_server("b-1", "sve-a", 4);
    }
};

} // namespace

// One route that cannot be read takes only its own requests down. They are refused as not run,
// since nothing is known that would permit them, and come back with the operator's next version at
// best.
TEST_CASE_METHOD(unreadable_configuration_fixture,
                 "dispatcher_unreadable_route_refuses_only_its_requests",
                 "[gateway]")
{
    m_document.routes[0].is_readable = false;
    publish(2);
    auto const refused = begin("/i/1");
    CHECK(status_of(refused) == http_unavailable);
    CHECK(m_replies.at(refused->number).retry_after == "2.000");
    begin("/o/1");
    REQUIRE(m_sent.size() == 1);
    CHECK(m_sent[0]->route->name == "once");
}

TEST_CASE_METHOD(unreadable_configuration_fixture,
                 "dispatcher_unreadable_split_part_refuses_only_its_share",
                 "[gateway]")
{
    m_document.routes[0].split = {{"", 1}, {"s", 3}};
    publish(2);
    int refused = 0;
    constexpr int requests = 40;
    for (int number = 0; number < requests; ++number)
    {
        auto const request = begin("/i/1");
        if (status_of(request) == http_unavailable)
            ++refused;
        else
            end(request, gateway::attempt_result::answered);
    }
    CHECK(refused == requests / 4);
}

TEST_CASE_METHOD(unreadable_configuration_fixture,
                 "dispatcher_unreadable_service_refuses_only_requests_for_it",
                 "[gateway]")
{
    routing::service other;
    other.name = "t";
    other.is_readable = false;
    m_document.services.push_back(other);
    add_route("other", "/t/", routing::request_kind::idempotent, "t");
    publish(2);
    CHECK(status_of(begin("/t/1")) == http_unavailable);
    begin("/i/1");
    CHECK(m_sent.size() == 1);
}

// A 404 says that no configuration allows the request. With a route whose place is unknown that is
// not known either.
TEST_CASE_METHOD(unreadable_configuration_fixture,
                 "dispatcher_unplaced_route_gives_503_instead_of_404",
                 "[gateway]")
{
    CHECK(status_of(begin("/nowhere/1")) == http_not_found);
    m_document.has_unplaced_route = true;
    publish(2);
    CHECK(status_of(begin("/nowhere/1")) == http_unavailable);
    begin("/i/1");
    CHECK(m_sent.size() == 1);
}

TEST_CASE_METHOD(unreadable_configuration_fixture,
                 "dispatcher_unreadable_document_keeps_the_older_one_in_force",
                 "[gateway]")
{
    m_dispatcher->apply(
        events::store_update<routing::routing_document>{true, 3, {{"main", 3, std::nullopt}}});
    REQUIRE(m_dispatcher->table());
    CHECK(m_dispatcher->table()->document.version == 1);
    begin("/i/1");
    CHECK(m_sent.size() == 1);
}

} // namespace pistachiohub
