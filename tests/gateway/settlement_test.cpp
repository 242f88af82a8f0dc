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
    /// @returns whether exactly one settlement was made for the request, with this outcome.
    [[nodiscard]] bool is_settled_once(gateway::request_pointer const& request,
                                       outcome result) const
    {
        auto const [first, last] = m_settled.equal_range(request->id);
        return std::distance(first, last) == 1 && first->second == result;
    }
};

} // namespace

// Operators and their partner must count each id once, with the same outcome. Any answer of a
// backend server proves that the request ran, whatever its status.
TEST_CASE_METHOD(settlement_fixture, "settlement_answered_request_ran", "[gateway]")
{
    add_server("i-1");
    auto const request = begin("/o/1");
    CHECK(m_settled.empty());
    end(request, attempt_result::answered, GENERATE(200U, 404U, 500U));
    CHECK(is_settled_once(request, outcome::ran));
}

TEST_CASE_METHOD(settlement_fixture, "settlement_refused_request_did_not_run", "[gateway]")
{
    auto const request = begin("/o/1");
    REQUIRE(status_of(request) == 503);
    CHECK(is_settled_once(request, outcome::not_run));
}

TEST_CASE_METHOD(settlement_fixture, "settlement_proven_refusals_did_not_run", "[gateway]")
{
    add_server("i-1");
    add_server("i-2");
    auto const request = begin("/o/1");
    end(request, attempt_result::not_started);
    CHECK(m_settled.empty());
    end(request, attempt_result::not_started);
    CHECK(is_settled_once(request, outcome::not_run));
}

TEST_CASE_METHOD(settlement_fixture, "settlement_broken_connection_is_unresolved", "[gateway]")
{
    add_server("i-1");
    auto const request = begin("/o/1");
    end(request, attempt_result::broken);
    CHECK(is_settled_once(request, outcome::unresolved));
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
    CHECK(is_settled_once(request, outcome::unresolved));
}

// The first send ran, so a refusal of the second send must not settle the request as not run.
TEST_CASE_METHOD(settlement_fixture, "settlement_error_answer_before_a_refusal_ran", "[gateway]")
{
    add_server("i-1");
    add_server("i-2");
    auto const request = begin("/i/1");
    end(request, attempt_result::answered, 500);
    REQUIRE(m_sent.size() == 2);
    end(request, attempt_result::not_started);
    CHECK(status_of(request) == 502);
    CHECK(is_settled_once(request, outcome::ran));
}

TEST_CASE_METHOD(settlement_fixture, "settlement_disconnected_caller_is_counted", "[gateway]")
{
    add_server("i-1");
    auto const running = begin("/o/1", "key");
    auto const waiting = begin("/o/2", "key");
    m_dispatcher->caller_gone(waiting, "caller_closed", m_now);
    m_dispatcher->caller_gone(running, "caller_closed", m_now);
    CHECK(is_settled_once(waiting, outcome::not_run));
    CHECK(is_settled_once(running, outcome::unresolved));
}

// No backend server is involved, and counting it would let callers add service names of their own.
TEST_CASE_METHOD(settlement_fixture, "settlement_unknown_route_is_not_counted", "[gateway]")
{
    REQUIRE(status_of(begin("/unknown/")) == 404);
    CHECK(m_settled.empty());
}

} // namespace pistachiohub
