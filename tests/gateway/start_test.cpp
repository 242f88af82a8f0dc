// Load pattern: callers keep using the addresses of a process that was killed, or of a whole fleet
// that lost power, and arrive in the tenths of a second in which it reads its configuration again.
// Most callers try only once more, and the next host may be restarting too, so such a request waits
// for a short time. When the store does not answer, nothing tells how long it would wait, and it is
// refused at once.

#include "tests/gateway/dispatcher_fixture.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

using std::chrono::milliseconds;

constexpr unsigned http_unavailable = 503;

class starting_dispatcher_fixture : public gateway_test::dispatcher_fixture
{
protected:
    starting_dispatcher_fixture()
    {
        m_dispatcher = make_dispatcher();
    }
};

} // namespace

TEST_CASE_METHOD(starting_dispatcher_fixture,
                 "dispatcher_request_during_the_start_waits_for_the_configuration",
                 "[gateway]")
{
    auto const early = begin("/o/1");
    CHECK(status_of(early) == 0);
    m_now += milliseconds(100);
    publish(1);
    m_dispatcher->tick(m_now);
    CHECK(m_sent.empty());
    add_server("b-1");
    CHECK(m_dispatcher->next_tick(m_now) >= m_now);
    m_dispatcher->tick(m_now);
    REQUIRE(m_sent.size() == 1);
    CHECK(m_sent[0] == early);
    // The time that it waited counts towards its target latency.
    m_now += milliseconds(700);
    m_dispatcher->tick(m_now);
    CHECK(status_of(early) == 504);
}

TEST_CASE_METHOD(starting_dispatcher_fixture,
                 "dispatcher_request_during_a_long_start_is_refused",
                 "[gateway]")
{
    auto const early = begin("/o/1");
    m_now += milliseconds(399);
    m_dispatcher->tick(m_now);
    CHECK(status_of(early) == 0);
    m_now += milliseconds(1);
    m_dispatcher->tick(m_now);
    CHECK(status_of(early) == http_unavailable);
    CHECK(m_replies.at(early->number).body.find("no_configuration") != std::string::npos);
    CHECK(m_dispatcher->open_requests() == 0);
}

TEST_CASE_METHOD(starting_dispatcher_fixture,
                 "dispatcher_request_is_refused_at_once_when_the_store_does_not_answer",
                 "[gateway]")
{
    auto const early = begin("/o/1");
    m_dispatcher->start_failed(m_now);
    CHECK(status_of(early) == http_unavailable);
    CHECK(status_of(begin("/o/2")) == http_unavailable);
}

TEST_CASE_METHOD(starting_dispatcher_fixture,
                 "dispatcher_caller_that_leaves_during_the_start_is_forgotten",
                 "[gateway]")
{
    auto const early = begin("/o/1");
    m_dispatcher->caller_gone(early, "caller_closed", m_now);
    publish(1);
    add_server("b-1");
    m_dispatcher->tick(m_now);
    CHECK(m_sent.empty());
    CHECK(m_dispatcher->open_requests() == 0);
}

} // namespace pistachiohub
