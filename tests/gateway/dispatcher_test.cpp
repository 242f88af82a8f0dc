#include "tests/gateway/dispatcher_fixture.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

using gateway::attempt_result;
using gateway_test::dispatcher_fixture;
using std::chrono::milliseconds;

} // namespace

TEST_CASE_METHOD(dispatcher_fixture, "dispatcher_answer_is_delivered_unchanged", "[gateway]")
{
    add_server("i-1");
    auto const request = begin("/o/1");
    REQUIRE(m_sent.size() == 1);
    end(request, attempt_result::answered, 201);
    CHECK(status_of(request) == 201);
    CHECK(m_replies[request->number].body == "of the server");
    CHECK(m_dispatcher->open_requests() == 0);
}

TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_unknown_route_is_404_only_under_a_configuration",
                 "[gateway]")
{
    add_server("i-1");
    CHECK(status_of(begin("/unknown/")) == 404);
    kernel::settings own;
    own.gateway.emplace();
    unsigned status = 0;
    gateway::dispatcher_actions actions;
    actions.reply = [&status](gateway::request_pointer const&, gateway::answer&& made)
    {
        status = made.status;
    };
    actions.random = []()
    {
        return 0.0;
    };
    gateway::dispatcher empty(own, std::move(actions), m_metrics);
    auto request = std::make_shared<gateway::gateway_request>();
    request->caller_deadline = m_now + std::chrono::seconds(1);
    request->arrived_at = m_now;
    empty.begin(request, m_now);
    // It waits for the first configuration, and is never told that its route does not exist.
    CHECK(status == 0);
    empty.tick(m_now + milliseconds(400));
    CHECK(status == 503);
}

// The caller gets its refusal at once, with a Retry-After header: waiting would not help it.
TEST_CASE_METHOD(dispatcher_fixture, "dispatcher_without_server_refuses_at_once", "[gateway]")
{
    auto const request = begin("/o/1");
    CHECK(status_of(request) == 503);
    CHECK_FALSE(m_replies[request->number].retry_after.empty());
}

TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_broken_at_most_once_request_is_not_sent_again",
                 "[gateway]")
{
    add_server("i-1");
    add_server("i-2");
    auto const request = begin("/o/1");
    end(request, attempt_result::broken);
    CHECK(m_sent.size() == 1);
    CHECK(status_of(request) == 502);
}

TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_server_error_of_at_most_once_request_is_delivered",
                 "[gateway]")
{
    add_server("i-1");
    add_server("i-2");
    auto const request = begin("/o/1");
    end(request, attempt_result::answered, 500);
    CHECK(m_sent.size() == 1);
    CHECK(status_of(request) == 500);
}

TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_request_proven_not_started_goes_to_another_server",
                 "[gateway]")
{
    add_server("i-1");
    add_server("i-2");
    auto const request = begin("/o/1");
    auto const first = request->server;
    end(request, attempt_result::not_started);
    REQUIRE(m_sent.size() == 2);
    CHECK(request->server != first);
    end(request, attempt_result::answered);
    CHECK(status_of(request) == 200);
}

TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_request_not_started_anywhere_is_refused_as_not_run",
                 "[gateway]")
{
    add_server("i-1");
    add_server("i-2");
    auto const request = begin("/o/1");
    end(request, attempt_result::not_started);
    end(request, attempt_result::not_started);
    CHECK(m_sent.size() == 2);
    CHECK(status_of(request) == 503);
}

// Guards against a 503, which promises that the request did not run, after a send that may have
// run.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_request_that_may_have_run_is_never_refused_as_not_run",
                 "[gateway]")
{
    add_server("i-1");
    add_server("i-2");
    auto const request = begin("/i/1");
    end(request, attempt_result::broken);
    REQUIRE(m_sent.size() == 2);
    end(request, attempt_result::not_started);
    CHECK(status_of(request) == 502);
}

TEST_CASE_METHOD(dispatcher_fixture, "dispatcher_attempts_are_limited_by_the_route", "[gateway]")
{
    for (int number = 1; number <= 5; ++number)
        add_server("i-" + std::to_string(number));
    auto const request = begin("/i/1");
    end(request, attempt_result::broken);
    end(request, attempt_result::broken);
    CHECK(m_sent.size() == 2);
    CHECK(status_of(request) == 502);
}

// A send that never reached a server does not count as an attempt.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_request_that_was_never_sent_goes_to_another_server",
                 "[gateway]")
{
    for (int number = 1; number <= 4; ++number)
        add_server("i-" + std::to_string(number));
    auto const request = begin("/o/1");
    end(request, attempt_result::never_sent);
    end(request, attempt_result::never_sent);
    end(request, attempt_result::never_sent);
    REQUIRE(m_sent.size() == 4);
    end(request, attempt_result::answered);
    CHECK(status_of(request) == 200);
}

TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_running_request_that_times_out_is_answered_504",
                 "[gateway]")
{
    add_server("i-1");
    auto const request = begin("/o/1");
    m_now += milliseconds(999);
    m_dispatcher->tick(m_now);
    CHECK(status_of(request) == 0);
    m_now += milliseconds(1);
    m_dispatcher->tick(m_now);
    CHECK(status_of(request) == 504);
    CHECK(m_cancelled.size() == 1);
}

// The caller must be able to read the answer before its own deadline.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_short_deadline_is_answered_before_the_caller_leaves",
                 "[gateway]")
{
    add_server("i-1");
    auto const request = begin("/o/1", "", milliseconds(200));
    m_now += milliseconds(190);
    m_dispatcher->tick(m_now);
    CHECK(status_of(request) == 504);
}

TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_request_of_a_disconnected_caller_is_cancelled",
                 "[gateway]")
{
    add_server("i-1");
    auto const running = begin("/o/1");
    auto const waiting = begin("/o/2");
    m_dispatcher->caller_gone(running, "caller_closed", m_now);
    CHECK(m_cancelled.size() == 1);
    REQUIRE(m_sent.size() == 2);
    CHECK(m_sent.back() == waiting);
    m_dispatcher->caller_gone(waiting, "caller_closed", m_now);
    CHECK(m_dispatcher->open_requests() == 0);
    CHECK(m_replies.empty());
}

// Load pattern: more requests than slots.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_free_slot_goes_to_the_highest_priority",
                 "[gateway]")
{
    m_document.routes[0].priority = 2;
    m_document.routes[1].priority = 0;
    publish(2);
    add_server("i-1");
    auto const running = begin("/i/1");
    auto const low = begin("/i/2");
    auto const high = begin("/o/3");
    REQUIRE(m_sent.size() == 1);
    end(running, attempt_result::answered);
    REQUIRE(m_sent.size() == 2);
    CHECK(m_sent.back() == high);
    CHECK(status_of(low) == 0);
}

// Load pattern: a burst of far more requests than slots. A request that could only run late would
// take the slot of one that can still meet its target, so it is refused on arrival and not at its
// deadline.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_burst_above_the_slots_is_refused_on_arrival",
                 "[gateway]")
{
    add_server("i-1");
    auto const first = begin("/i/1");
    m_now += milliseconds(150);
    end(first, attempt_result::answered);
    std::size_t refused = 0;
    for (int number = 0; number < 20; ++number)
        refused += status_of(begin("/i/x")) == 503 ? 1 : 0;
    // One runs, and one waits an expected 150 ms of the 240 ms that its target latency permits.
    CHECK(refused == 18);
}

TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_waiting_request_is_refused_once_its_target_has_passed",
                 "[gateway]")
{
    add_server("i-1");
    static_cast<void>(begin("/i/1"));
    auto const waiting = begin("/i/2");
    m_now += milliseconds(400);
    m_dispatcher->tick(m_now);
    CHECK(status_of(waiting) == 503);
    CHECK(m_sent.size() == 1);
}

// Load pattern: objects are requested repeatedly, one of them more often than its server can run.
// Any further server that ran it would evict another object from its cache, and the overload would
// spread. Requests use the second server of the object when the first is full, and otherwise wait
// for these two only.
TEST_CASE_METHOD(dispatcher_fixture, "dispatcher_popular_object_uses_two_servers_only", "[gateway]")
{
    m_document.routes[0].has_affinity = true;
    publish(2);
    for (int number = 1; number <= 6; ++number)
        add_server("i-" + std::to_string(number));
    for (int number = 0; number < 10; ++number)
        static_cast<void>(begin("/i/x", "object"));
    CHECK(m_sent.size() == 2);
    for (int step = 0; step < 19; ++step)
    {
        m_now += milliseconds(20);
        m_dispatcher->tick(m_now);
        CHECK(m_sent.size() == 2);
    }
    CHECK(m_sent[0]->server != m_sent[1]->server);
    auto const first = m_sent[0]->server;
    end(m_sent[0], attempt_result::answered);
    REQUIRE(m_sent.size() == 3);
    CHECK(m_sent[2]->server == first);
}

TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_waiting_request_is_refused_when_its_server_leaves",
                 "[gateway]")
{
    add_server("i-1");
    auto const running = begin("/i/1");
    auto const waiting = begin("/i/2");
    remove_server("i-1");
    CHECK(status_of(waiting) == 503);
    end(running, attempt_result::answered);
    CHECK(status_of(running) == 200);
    CHECK(m_sent.size() == 1);
}

TEST_CASE_METHOD(dispatcher_fixture, "dispatcher_cold_server_gets_its_share_only", "[gateway]")
{
    add_server("i-1", "sve-a", 100, milliseconds(5000));
    // The server tolerates 5 requests a second. With factor 1 and no slack, 3 of them are used, and
    // half of those, rounded down to 1, in each clock second.
    std::size_t sent = 0;
    for (int number = 0; number < 20; ++number)
    {
        static_cast<void>(begin("/i/x"));
        sent = m_sent.size();
    }
    CHECK(sent >= 1);
    CHECK(sent <= 3);
}

// One update from the store may both add and remove a short-lived server. This used to end the
// daemon by an exception.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_server_added_and_removed_at_once_is_ignored",
                 "[gateway]")
{
    fleet::backend_server server;
    server.id = "i-1";
    server.service = "s";
    events::store_update<fleet::backend_server> const update{
        false, 1, {{"i-1", 1, server}, {"i-1", 2, std::nullopt}}};
    CHECK_NOTHROW(m_dispatcher->apply(update, m_now));
    CHECK(status_of(begin("/i/1")) == 503);
}

// After an outage of the store a daemon cannot tell whether the entry of a missing server lapsed or
// the server stopped. Such a server gets requests only when there is no other.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_server_missing_after_an_outage_is_the_last_choice",
                 "[gateway]")
{
    add_server("i-1", "sve-a", 10);
    add_server("i-2", "got-a", 10);
    m_dispatcher->set_server_store_reachable(false, m_now);
    m_dispatcher->set_server_store_reachable(true, m_now);
    remove_server("i-1");
    CHECK(begin("/i/1")->server->record.id == "i-2");
    remove_server("i-2");
    // Half of the slots are in the own region, so half of the requests without an object are placed
    // there.
    m_random = 0.4;
    CHECK(begin("/i/2")->server->record.id == "i-1");
}

// Load pattern: servers are nearly full, and daemons learn of a free slot later than the queue of
// the server does. Queueing at the server pays off as long as the wait is short compared with the
// target latency.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_queue_of_a_server_is_short_where_runs_are_long",
                 "[gateway]")
{
    auto const run_ms = GENERATE(50, 400, 4000);
    add_server("i-1", "sve-a", 8);
    auto const first = begin("/i/1", "", std::chrono::seconds(30));
    m_now += milliseconds(run_ms);
    end(first, attempt_result::answered);
    m_sent.clear();
    for (int number = 0; number < 40; ++number)
        static_cast<void>(begin("/i/x"));
    // A quarter of the target latency of 400 ms is two runs, a quarter and a fortieth of a run. No
    // queue is longer than the number of slots.
    CHECK(m_sent.size() == (run_ms == 50 ? 16U : run_ms == 400 ? 10U : 8U));
}

// Load pattern: all servers are cold, and the run time is unknown. Queueing at servers would only
// delay the slowest runs of the day further.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_first_requests_do_not_queue_at_servers",
                 "[gateway]")
{
    add_server("i-1", "sve-a", 8);
    for (int number = 0; number < 40; ++number)
        static_cast<void>(begin("/i/x"));
    CHECK(m_sent.size() == 8);
}

// Load pattern: a region with few slots and many callers, from the first second on. The first
// requests must already be distributed by capacity.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_first_requests_are_placed_by_capacity",
                 "[gateway]")
{
    m_document.routes[0].has_affinity = true;
    publish(2);
    // A request before the first server is known must not initialise the spillover.
    if (GENERATE(false, true))
        CHECK(status_of(begin("/i/1")) == 503);
    m_now += milliseconds(300);
    m_dispatcher->tick(m_now);
    add_server("i-2", "got-a", 300);
    add_server("i-1", "sve-a", 100);
    int in_own_region = 0;
    for (int number = 0; number < 100; ++number)
        in_own_region +=
            begin("/i/1", "object-" + std::to_string(number))->server->record.id == "i-1";
    // All hosts of the fixture are in the region that has a quarter of the slots.
    CHECK(in_own_region > 10);
    CHECK(in_own_region < 40);
}

// An older version that arrives late must not undo a newer one.
TEST_CASE_METHOD(dispatcher_fixture, "dispatcher_older_configuration_is_ignored", "[gateway]")
{
    publish(5);
    m_document.routes.clear();
    publish(4);
    CHECK(m_dispatcher->table()->document.version == 5);
    CHECK(m_dispatcher->table()->document.routes.size() == 2);
}

TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_request_runs_only_in_its_home_regions",
                 "[gateway]")
{
    m_document.routes[1].home_regions = {"gotaland"};
    publish(2);
    add_server("i-1", "sve-a");
    CHECK(status_of(begin("/o/1")) == 503);
    add_server("i-2", "got-a");
    auto const request = begin("/o/2");
    REQUIRE(m_sent.size() == 1);
    CHECK(request->server->record.id == "i-2");
}

TEST_CASE_METHOD(dispatcher_fixture, "dispatcher_split_follows_the_weights", "[gateway]")
{
    m_document.routes[0].split = {{"s", 3}, {"other", 1}};
    publish(2);
    add_server("i-1", "sve-a", 100);
    int refused_count = 0;
    for (int number = 0; number < 40; ++number)
        refused_count += status_of(begin("/i/x")) == 503 ? 1 : 0;
    // The other service has no server. Its share of the requests is refused and not sent to `s`.
    CHECK(refused_count == 10);
    CHECK(m_sent.size() == 30);
}

// An answer that broke off after the caller got a part of it can neither be repeated nor replaced
// by a refusal, and it is not known to have run to its end.
TEST_CASE_METHOD(dispatcher_fixture, "dispatcher_broken_stream_is_not_sent_again", "[gateway]")
{
    add_server("b-1");
    add_server("b-2");
    auto const request = begin("/i/1");
    REQUIRE(m_sent.size() == 1);
    m_dispatcher->stream_began(*request, m_now);
    end(request, gateway::attempt_result::broken);
    CHECK(m_sent.size() == 1);
    CHECK(status_of(request) == 0);
    REQUIRE(m_ended_streams.count(request->number) == 1);
    CHECK_FALSE(m_ended_streams[request->number]);
    REQUIRE(m_settled.count(request->id) == 1);
    CHECK(m_settled.find(request->id)->second == outcome::unresolved);
}

// Guards against an answer that broke off and is framed as whole because an earlier send of the
// request has run: that it ran says nothing of the second answer's body.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_broken_stream_after_a_failed_run_is_incomplete",
                 "[gateway]")
{
    add_server("b-1");
    add_server("b-2");
    auto const request = begin("/i/1");
    end(request, gateway::attempt_result::answered, 500);
    REQUIRE(m_sent.size() == 2);
    m_dispatcher->stream_began(*request, m_now);
    SECTION("the connection to the server breaks")
    {
        end(request, gateway::attempt_result::broken);
    }
    SECTION("the deadline passes")
    {
        m_now += std::chrono::seconds(2);
        m_dispatcher->tick(m_now);
    }
    REQUIRE(m_ended_streams.count(request->number) == 1);
    CHECK_FALSE(m_ended_streams[request->number]);
    CHECK(m_settled.find(request->id)->second == outcome::ran);
}

TEST_CASE_METHOD(dispatcher_fixture, "dispatcher_whole_stream_is_settled_as_run", "[gateway]")
{
    add_server("b-1");
    auto const request = begin("/o/1");
    m_dispatcher->stream_began(*request, m_now);
    end(request, gateway::attempt_result::answered);
    CHECK(m_ended_streams[request->number]);
    CHECK(m_settled.find(request->id)->second == outcome::ran);
}

TEST_CASE_METHOD(dispatcher_fixture, "dispatcher_stream_past_its_deadline_breaks_off", "[gateway]")
{
    add_server("b-1");
    auto const request = begin("/o/1");
    m_dispatcher->stream_began(*request, m_now);
    m_now += milliseconds(1000);
    m_dispatcher->tick(m_now);
    CHECK(m_cancelled.size() == 1);
    REQUIRE(m_ended_streams.count(request->number) == 1);
    CHECK_FALSE(m_ended_streams[request->number]);
    CHECK(m_settled.find(request->id)->second == outcome::unresolved);
}

// Load pattern: a planned stop while callers with old directory answers still send. What would be
// cut off by the end of the process is refused at once, so that it can be repeated at another host.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_refuses_what_would_not_end_before_the_process",
                 "[gateway]")
{
    add_server("b-1", "sve-a", 8);
    auto const first = begin("/o/1");
    m_now += milliseconds(200);
    end(first, attempt_result::answered);
    m_dispatcher->set_service_end(gateway::make_service_end(m_now, milliseconds(1000)));
    begin("/o/2");
    CHECK(m_sent.size() == 2);
    m_now += milliseconds(500);
    auto const late = begin("/o/3");
    CHECK(m_sent.size() == 2);
    CHECK(status_of(late) == 503);
    CHECK(m_settled.find(late->id)->second == outcome::not_run);
    // Requests that were taken before end as usual.
    end(m_sent[1], attempt_result::answered);
    CHECK(status_of(m_sent[1]) == 200);
}

// Load pattern: one popular object fills its two servers while the others of the service are idle.
// Its further requests run there rather than being refused; in a crowded region they are refused,
// since copies of the object would displace others.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_popular_object_uses_spare_slots_of_other_servers",
                 "[gateway]")
{
    bool const is_crowded = GENERATE(false, true);
    for (auto& route : m_document.routes)
        route.has_affinity = true;
    publish(2);
    constexpr int servers = 8;
    for (int number = 0; number < servers; ++number)
        add_server("b-" + std::to_string(number));
    auto const first = begin("/o/1", "first");
    m_now += milliseconds(300);
    end(first, attempt_result::answered);
    constexpr int other_objects = 40;
    for (int other = 0; is_crowded && other < other_objects; ++other)
        begin("/i/1", "other-" + std::to_string(other));
    m_now += milliseconds(300);
    m_dispatcher->tick(m_now);
    auto const before = m_sent.size();
    constexpr std::size_t requests = 4;
    std::size_t refused = 0;
    for (std::size_t number = 0; number < requests; ++number)
        refused += status_of(begin("/o/1", "popular")) == 503 ? 1 : 0;
    auto const sent = m_sent.size() - before;
    if (is_crowded)
        CHECK(sent <= 2);
    else
        CHECK(sent == requests);
    CHECK(refused == requests - sent);
}

// Guards against requests to a server that said that it leaves, once its registration says again
// that it is ready, or has lapsed and returned. Another process under the same id has said nothing.
TEST_CASE_METHOD(dispatcher_fixture,
                 "dispatcher_leaving_server_is_used_again_only_after_a_restart",
                 "[gateway]")
{
    add_server("b-1", "sve-a", 10);
    auto const request = begin("/i/1");
    interface::server_notice notice;
    notice.is_leaving = true;
    // A part that cannot be read does not hide the rest.
    notice.is_malformed = GENERATE(false, true);
    bool const is_told_late = GENERATE(false, true);
    if (!is_told_late)
        m_dispatcher->server_notice_received(*request, notice, m_now);
    add_server("b-1", "sve-a", 10);
    remove_server("b-1");
    if (is_told_late)
        m_dispatcher->server_notice_received(*request, notice, m_now);
    add_server("b-1", "sve-a", 10);
    end(request, gateway::attempt_result::answered);
    CHECK(status_of(begin("/i/2")) == 503);
    CHECK(m_sent.size() == 1);
    auto record = m_dispatcher->servers().servers.at("b-1")->record;
    ++record.started_at_ms;
    m_dispatcher->apply(
        events::store_update<fleet::backend_server>{false, 5, {{record.id, 5, record}}}, m_now);
    begin("/i/3");
    CHECK(m_sent.size() == 2);
}

// Guards against a pause that ends early or not at all. It is the server's word, so that it
// outlives a lapsed registration.
TEST_CASE_METHOD(dispatcher_fixture, "dispatcher_paused_server_is_used_when_it_ends", "[gateway]")
{
    add_server("b-1", "sve-a", 10);
    auto const request = begin("/o/1");
    interface::server_notice notice;
    notice.wanted_pause = milliseconds(3000);
    m_dispatcher->server_notice_received(*request, notice, m_now);
    auto const told_at = m_now;
    end(request, gateway::attempt_result::not_started, 503);
    if (GENERATE(false, true))
    {
        remove_server("b-1");
        add_server("b-1", "sve-a", 10);
    }
    m_now = told_at + milliseconds(2990);
    CHECK(status_of(begin("/i/2")) == 503);
    CHECK(m_sent.size() == 1);
    m_now = told_at + milliseconds(3600);
    begin("/i/3");
    CHECK(m_sent.size() == 2);
}

// Guards against a limit that is forgotten when the registration of the server lapses and returns,
// as after an outage of the store. Another process under the same id has named none.
TEST_CASE_METHOD(dispatcher_fixture, "dispatcher_limit_outlives_a_lapsed_registration", "[gateway]")
{
    add_server("b-1", "sve-a", 10);
    auto const request = begin("/i/1");
    REQUIRE(m_sent.size() == 1);
    interface::server_notice notice;
    notice.max_requests_per_second = 0;
    // A part that cannot be read does not hide the rest.
    notice.is_malformed = GENERATE(false, true);
    m_dispatcher->server_notice_received(*request, notice, m_now);
    end(request, gateway::attempt_result::answered);
    remove_server("b-1");
    add_server("b-1", "sve-a", 10);
    begin("/i/2");
    CHECK(m_sent.size() == 1);
    auto record = m_dispatcher->servers().servers.at("b-1")->record;
    ++record.started_at_ms;
    m_dispatcher->apply(
        events::store_update<fleet::backend_server>{false, 5, {{record.id, 5, record}}}, m_now);
    begin("/i/3");
    CHECK(m_sent.size() >= 2);
}

} // namespace pistachiohub
