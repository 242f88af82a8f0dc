// Failure: a stopping process took requests that outlasted it, and cut them without an answer. How
// long the requests of a service take on average tells nothing of one that takes several times as
// long, and a request that waits, or is sent again, has less time left than when it arrived.

#include "tests/gateway/dispatcher_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

namespace pistachiohub
{

namespace
{

using gateway::attempt_result;
using std::chrono::milliseconds;

constexpr unsigned http_ok = 200;
constexpr unsigned http_bad_gateway = 502;
constexpr unsigned http_unavailable = 503;
constexpr auto available = milliseconds(5600);
constexpr auto long_deadline = milliseconds(10'000);

/// A dispatcher whose routes `/i/` and `/o/` allow 10 s, beside a route `/short/` of the same
/// service.
class planned_stop_fixture : public gateway_test::dispatcher_fixture
{
protected:
    planned_stop_fixture()
    {
        for (auto& route : m_document.routes)
        {
            route.timeout = long_deadline;
            route.target_latency = milliseconds(1200);
        }
        add_route("short", "/short/", routing::request_kind::idempotent, "s");
        publish(2);
        add_server("b-1", "sve-a", 16);
    }

    void begin_stop()
    {
        m_dispatcher->set_service_end(gateway::make_service_end(m_now, available));
    }

    void advance(milliseconds time)
    {
        m_now += time;
        m_dispatcher->tick(m_now);
    }

    gateway::request_pointer begin_long(std::string const& target)
    {
        return begin(target, "", long_deadline);
    }

    /// Plays one answered request.
    void serve(std::string const& target, milliseconds run)
    {
        auto const request = begin_long(target);
        REQUIRE(m_sent.back() == request);
        advance(run);
        end(request, attempt_result::answered);
        REQUIRE(status_of(request) == http_ok);
    }
};

} // namespace

TEST_CASE_METHOD(planned_stop_fixture,
                 "planned_stop_refuses_a_long_kind_of_request_behind_short_ones",
                 "[gateway]")
{
    bool const is_known = GENERATE(false, true);
    if (is_known)
        serve("/o/1", milliseconds(2400));
    for (int number = 0; number < 20; ++number)
        serve("/short/1", milliseconds(50));
    begin_stop();
    advance(milliseconds(3400));
    auto const sent = m_sent.size();
    auto const late = begin_long("/o/2");
    CHECK(m_sent.size() == sent);
    CHECK(status_of(late) == http_unavailable);
    CHECK_FALSE(m_replies[late->number].retry_after.empty());
    CHECK(m_settled.find(late->id)->second == outcome::not_run);
}

// A caller that leaves early, or a server that fails at once, tells nothing of how long runs take.
TEST_CASE_METHOD(planned_stop_fixture,
                 "planned_stop_takes_no_estimate_from_a_run_that_did_not_succeed",
                 "[gateway]")
{
    auto const first = begin_long("/o/1");
    advance(milliseconds(20));
    SECTION("its caller left")
    {
        m_dispatcher->caller_gone(first, "caller_closed", m_now);
    }
    SECTION("its server failed")
    {
        end(first, attempt_result::answered, 500);
    }
    begin_stop();
    CHECK(status_of(begin_long("/o/2")) == http_unavailable);
}

TEST_CASE_METHOD(planned_stop_fixture,
                 "planned_stop_serves_what_ends_before_the_process",
                 "[gateway]")
{
    serve("/o/1", milliseconds(300));
    begin_stop();
    auto const sent = m_sent.size();
    begin_long("/o/2");
    CHECK(m_sent.size() == sent + 1);
    // However long it runs, its own time is up before the process ends.
    advance(milliseconds(4500));
    begin("/o/3", "", milliseconds(1000));
    CHECK(m_sent.size() == sent + 2);
    CHECK(m_sent.back()->run_deadline == m_sent.back()->answer_deadline);
    // Runs of its route have been short, and its server ends it in time if this one is not.
    begin("/o/4", "", milliseconds(1300));
    CHECK(m_sent.size() == sent + 3);
    CHECK(m_sent.back()->run_deadline < m_now + milliseconds(1100));
    advance(milliseconds(400));
    begin("/o/5", "", milliseconds(1300));
    CHECK(m_sent.size() == sent + 3);
}

TEST_CASE_METHOD(planned_stop_fixture,
                 "planned_stop_refuses_a_waiting_request_that_has_no_time_left",
                 "[gateway]")
{
    serve("/i/1", milliseconds(200));
    remove_server("b-1");
    add_server("b-2", "sve-a", 1);
    auto const running = begin_long("/i/2");
    auto const queued_at_server = begin_long("/i/3");
    auto const waiting = begin_long("/i/4");
    REQUIRE(m_sent.back() == queued_at_server);
    REQUIRE(status_of(waiting) == 0);
    m_dispatcher->set_service_end(gateway::make_service_end(m_now, milliseconds(700)));
    advance(milliseconds(350));
    end(running, attempt_result::answered);
    CHECK(m_sent.back() == queued_at_server);
    CHECK(status_of(waiting) == http_unavailable);
}

TEST_CASE_METHOD(planned_stop_fixture,
                 "planned_stop_sends_no_request_again_that_has_no_time_left",
                 "[gateway]")
{
    add_server("b-2", "sve-a", 16);
    serve("/i/1", milliseconds(400));
    begin_stop();
    auto const request = begin_long("/i/2");
    auto const sent = m_sent.size();
    advance(milliseconds(4800));
    auto const [result, status, expected] =
        GENERATE(std::tuple(attempt_result::broken, 0U, http_bad_gateway),
                 std::tuple(attempt_result::not_started, http_unavailable, http_unavailable),
                 // The answer of the server tells the caller more than one of the gateway.
                 std::tuple(attempt_result::answered, 500U, 500U));
    end(request, result, status);
    CHECK(m_sent.size() == sent);
    CHECK(status_of(request) == expected);
}

// Guards against requests that end with the process and are in no settlement.
TEST_CASE_METHOD(planned_stop_fixture,
                 "planned_stop_ends_each_open_request_with_a_known_outcome",
                 "[gateway]")
{
    remove_server("b-1");
    add_server("b-2", "sve-a", 1);
    auto const running = begin_long("/o/1");
    auto const waiting = begin_long("/o/2");
    m_dispatcher->end_service(m_now);
    CHECK(m_dispatcher->open_requests() == 0);
    CHECK(m_cancelled == std::vector{running});
    CHECK(status_of(running) == http_bad_gateway);
    CHECK(m_settled.find(running->id)->second == outcome::unresolved);
    CHECK(status_of(waiting) == http_unavailable);
    CHECK(m_settled.find(waiting->id)->second == outcome::not_run);
}

// Load pattern: a planned stop beside kinds of requests whose runs differ by ten times and spread,
// and servers that end a run at the deadline that they were told. No request that is sent during
// the stop outlasts the process.
TEST_CASE_METHOD(planned_stop_fixture,
                 "planned_stop_cuts_nothing_that_was_sent_during_it",
                 "[gateway]")
{
    auto const seed = GENERATE(range(1U, 21U));
    INFO("seed " << seed);
    std::mt19937 random(seed);
    struct run
    {
        gateway::request_pointer request;
        kernel::monotonic_time ends_at;
    };
    std::vector<run> running;
    std::size_t taken = 0;
    std::size_t served_in_stop = 0;
    constexpr auto step = milliseconds(20);
    constexpr auto time_before = milliseconds(8000);
    auto const stops_at = m_now + time_before;
    auto const ends_at = stops_at + available;
    bool is_stopping = false;
    while (m_now < ends_at)
    {
        if (!is_stopping && m_now >= stops_at)
        {
            is_stopping = true;
            begin_stop();
        }
        auto const kind = random() % 8;
        begin_long(kind == 0 ? "/o/1" : kind == 1 ? "/i/1" : "/short/1");
        for (; taken < m_sent.size(); ++taken)
        {
            auto const& request = m_sent[taken];
            bool const is_short = request->route->name == "short";
            std::lognormal_distribution<double> spread(0, 0.3);
            auto const run_ms = (is_short ? 150 : 1800) * std::min(spread(random), 3.0);
            running.push_back(
                {request,
                 std::min<kernel::monotonic_time>(m_now + milliseconds(static_cast<int>(run_ms)),
                                                  request->run_deadline)});
        }
        advance(step);
        for (auto const& one : std::exchange(running, {}))
        {
            if (one.ends_at > m_now)
            {
                running.push_back(one);
                continue;
            }
            end(one.request, attempt_result::answered);
            served_in_stop += is_stopping ? 1 : 0;
        }
    }
    CHECK(served_in_stop > 100);
    CHECK(std::none_of(running.begin(),
                       running.end(),
                       [stops_at](run const& one)
                       {
                           return one.request->state != gateway::request_state::ended &&
                                  one.request->sent_at >= stops_at;
                       }));
}

TEST_CASE("run_history_knows_the_longest_run_of_its_window", "[gateway]")
{
    using gateway::run_history_window;
    kernel::monotonic_time const start{std::chrono::hours(1)};
    gateway::run_history history;
    CHECK_FALSE(gateway::longest_recent_run(history, start));
    gateway::record_run(history, milliseconds(900), start);
    gateway::record_run(history, milliseconds(100), start + milliseconds(1));
    CHECK(gateway::longest_recent_run(history, start) == milliseconds(900));
    auto const next = start + run_history_window;
    gateway::record_run(history, milliseconds(200), next);
    CHECK(gateway::longest_recent_run(history, next) == milliseconds(900));
    CHECK(gateway::longest_recent_run(history, next + run_history_window) == milliseconds(200));
    CHECK_FALSE(gateway::longest_recent_run(history, next + 2 * run_history_window));
    gateway::record_failed_run(history, milliseconds(300), next);
    CHECK(gateway::longest_recent_run(history, next) == milliseconds(900));
    gateway::record_failed_run(history, milliseconds(1000), next);
    CHECK(gateway::longest_recent_run(history, next) == milliseconds(1000));
}

} // namespace pistachiohub
