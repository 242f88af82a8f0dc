#include "tests/gateway/dispatcher_fixture.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

using gateway::attempt_result;
using std::chrono::milliseconds;

class settlement_fixture : public gateway_test::dispatcher_fixture
{
protected:
    /// @returns whether the request was counted once, with this outcome.
    [[nodiscard]] bool settled(gateway::request_pointer const& request, outcome result) const
    {
        auto const [first, last] = m_settled.equal_range(request->id);
        return std::distance(first, last) == 1 && first->second == result;
    }
};

} // namespace

// Operators and their partner count each id once, by the same outcome.
TEST_CASE_METHOD(settlement_fixture, "settlement_answered_request_ran", "[gateway]")
{
    add_server("i-1");
    auto const request = begin("/o/1");
    CHECK(m_settled.empty());
    end(request, attempt_result::answered, GENERATE(200U, 404U, 500U));
    CHECK(settled(request, outcome::ran));
}

TEST_CASE_METHOD(settlement_fixture, "settlement_refused_request_did_not_run", "[gateway]")
{
    auto const request = begin("/o/1");
    REQUIRE(status_of(request) == 503);
    CHECK(settled(request, outcome::not_run));
}

TEST_CASE_METHOD(settlement_fixture, "settlement_proven_refusals_did_not_run", "[gateway]")
{
    add_server("i-1");
    add_server("i-2");
    auto const request = begin("/o/1");
    end(request, attempt_result::not_started);
    CHECK(m_settled.empty());
    end(request, attempt_result::not_started);
    CHECK(settled(request, outcome::not_run));
}

TEST_CASE_METHOD(settlement_fixture, "settlement_broken_request_is_unresolved", "[gateway]")
{
    add_server("i-1");
    auto const request = begin("/o/1");
    end(request, attempt_result::broken);
    CHECK(settled(request, outcome::unresolved));
}

TEST_CASE_METHOD(settlement_fixture,
                 "settlement_request_after_its_timeout_is_unresolved",
                 "[gateway]")
{
    add_server("i-1");
    auto const request = begin("/o/1");
    m_now += milliseconds(1000);
    m_dispatcher->tick(m_now);
    REQUIRE(status_of(request) == 504);
    CHECK(settled(request, outcome::unresolved));
}

// A repeat that is refused does not undo the run of an earlier send.
TEST_CASE_METHOD(settlement_fixture, "settlement_failed_run_before_a_refusal_ran", "[gateway]")
{
    add_server("i-1");
    add_server("i-2");
    auto const request = begin("/i/1");
    end(request, attempt_result::answered, 500);
    REQUIRE(m_sent.size() == 2);
    end(request, attempt_result::not_started);
    CHECK(status_of(request) == 502);
    CHECK(settled(request, outcome::ran));
}

TEST_CASE_METHOD(settlement_fixture, "settlement_caller_that_leaves_is_counted", "[gateway]")
{
    add_server("i-1");
    auto const running = begin("/o/1", "key");
    auto const waiting = begin("/o/2", "key");
    m_dispatcher->caller_gone(waiting, m_now);
    m_dispatcher->caller_gone(running, m_now);
    CHECK(settled(waiting, outcome::not_run));
    CHECK(settled(running, outcome::unresolved));
}

// No backend server is concerned, and any caller could add names of its own.
TEST_CASE_METHOD(settlement_fixture, "settlement_unknown_route_is_not_counted", "[gateway]")
{
    REQUIRE(status_of(begin("/unknown/")) == 404);
    CHECK(m_settled.empty());
}

} // namespace pistachiohub
