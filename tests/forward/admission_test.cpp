#include "tests/forward/fixture.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub::forward_test
{

using events::attempt_end;
using events::dispatch_attempt;
using events::front_reply;

// If a re-sent request started a second attempt, an at-most-once request would run twice (R2, I5).
TEST_CASE_METHOD(fixture, "resend_of_running_request_joins_it", "[forward]")
{
    auto const first = request("lock", "one");
    auto const dispatch = only<dispatch_attempt>();
    REQUIRE(dispatch.has_value());
    auto const second = request("lock", "one");
    CHECK(all<dispatch_attempt>().empty());
    handle(events::attempt_result{dispatch->dispatch, attempt_end::answered, "answer"});
    auto const replies = all<front_reply>();
    REQUIRE(replies.size() == 2);
    CHECK(replies[0].exchange == first);
    CHECK(replies[1].exchange == second);
    CHECK(replies[1].answer == "answer");
    CHECK(settled(*this, outcome::ran));
}

// A caller that did not receive the answer re-sends the request. It must get the same answer
// without another run.
TEST_CASE_METHOD(fixture, "resend_of_ended_request_receives_kept_answer", "[forward]")
{
    request("lock", "one");
    handle(events::attempt_result{
        only<dispatch_attempt>().value().dispatch, attempt_end::answered, "answer"});
    auto const exchange = request("lock", "one");
    CHECK(all<dispatch_attempt>().empty());
    CHECK(all<events::settle_request>().empty());
    REQUIRE(replied(*this, outcome::ran, reason::ok));
    CHECK(only<front_reply>()->exchange == exchange);
    CHECK(only<front_reply>()->answer == "answer");
}

// A caller must not receive the answer to a different request with the same id (I3).
TEST_CASE_METHOD(fixture, "same_id_with_other_body_is_refused_and_changes_nothing", "[forward]")
{
    auto const first = request("lock", "one", "body");
    auto const dispatch = only<dispatch_attempt>().value();
    request("lock", "one", "other body");
    CHECK(replied(*this, outcome::unresolved, reason::id_reused));
    request("look", "one", "body");
    CHECK(replied(*this, outcome::unresolved, reason::id_reused));
    CHECK(all<events::settle_request>().empty());
    handle(events::attempt_result{dispatch.dispatch, attempt_end::answered, "answer"});
    REQUIRE(replied(*this, outcome::ran, reason::ok));
    CHECK(only<front_reply>()->exchange == first);
}

// An id older than the retention may have been dropped from the table, so that accepting it could
// run it a second time (R1).
TEST_CASE_METHOD(fixture, "id_outside_retention_is_never_dispatched", "[forward]")
{
    auto id = own_id("old");
    id.epoch = own_epoch - forward::retention_epochs - 1;
    handle(events::caller_request{1, id, 0, "lock", now + 5s, "body"});
    CHECK(replied(*this, outcome::unresolved, reason::expired));
    id.epoch = own_epoch - forward::retention_epochs;
    handle(events::caller_request{2, id, 0, "lock", now + 5s, "body"});
    CHECK(only<dispatch_attempt>().has_value());
}

// An id of a future epoch is refused with `not_run`, and must not run when that epoch has come
// (I4).
TEST_CASE_METHOD(fixture, "id_of_future_epoch_stays_closed", "[forward]")
{
    auto id = own_id("early");
    id.epoch = own_epoch + 2;
    handle(events::caller_request{1, id, 0, "lock", now + 5s, "body"});
    CHECK(replied(*this, outcome::not_run, reason::future_epoch));
    world.own_epoch = own_epoch + 2;
    handle(events::caller_request{2, id, 0, "lock", now + 5s, "body"});
    CHECK(replied(*this, outcome::not_run, reason::future_epoch));
    CHECK(all<dispatch_attempt>().empty());
}

// If requests were never dropped, the table would grow without bound. If they were dropped too
// early, an id that is still accepted could run again.
TEST_CASE_METHOD(fixture, "request_is_dropped_only_after_retention", "[forward]")
{
    request("lock", "one");
    handle(events::attempt_result{
        only<dispatch_attempt>().value().dispatch, attempt_end::answered, "answer"});
    world.own_epoch = own_epoch + forward::retention_epochs;
    advance_time(2s);
    CHECK(state.requests.requests.size() == 1);
    world.own_epoch = own_epoch + forward::retention_epochs + 1;
    advance_time(2s);
    CHECK(state.requests.requests.empty());
    CHECK(state.dispatches.empty());
    CHECK(state.requests.retained_bytes == 0);
    request("lock", "one");
    CHECK(replied(*this, outcome::unresolved, reason::expired));
}

// Answers to idempotent requests, such as lookups, would fill the memory if they were kept as long
// as those to at-most-once requests, such as redemptions.
TEST_CASE_METHOD(fixture, "answer_of_idempotent_request_is_dropped_after_a_minute", "[forward]")
{
    request("look", "one");
    handle(events::attempt_result{
        only<dispatch_attempt>().value().dispatch, attempt_end::answered, "answer"});
    advance_time(61s);
    CHECK(state.requests.retained_bytes == 0);
    request("look", "one");
    CHECK(replied(*this, outcome::unresolved, reason::expired));
}

TEST_CASE_METHOD(fixture, "unknown_service_is_refused_and_not_counted", "[forward]")
{
    request("nothing", "one");
    CHECK(replied(*this, outcome::not_run, reason::unknown_service));
    CHECK(all<events::settle_request>().empty());
}

TEST_CASE_METHOD(fixture, "idempotent_request_without_id_gets_one", "[forward]")
{
    handle(events::caller_request{1, std::nullopt, 0, "look", now + 5s, "body"});
    auto const dispatch = only<dispatch_attempt>();
    REQUIRE(dispatch.has_value());
    CHECK(dispatch->id.incarnation == own_incarnation);
    CHECK(identity::parse_request_id(to_string(dispatch->id)) == dispatch->id);
    handle(events::caller_request{2, std::nullopt, 0, "lock", now + 5s, "body"});
    CHECK(replied(*this, outcome::not_run, reason::missing_request_id));
}

// A caller that joins a request with a shorter deadline must not wait until the deadline of the
// first caller.
TEST_CASE_METHOD(fixture, "joined_caller_is_answered_at_its_own_deadline", "[forward]")
{
    request("lock", "one", "body", 5s);
    auto const second = request("lock", "one", "body", 1s);
    advance_time(1s);
    REQUIRE(replied(*this, outcome::unresolved, reason::deadline));
    CHECK(only<front_reply>()->exchange == second);
    CHECK(all<events::settle_request>().empty());
}

// If the request were dispatched before its intent is in the journal, a fence would wrongly prove
// that the id was not run.
TEST_CASE_METHOD(fixture,
                 "journaled_request_is_dispatched_only_once_intent_is_durable",
                 "[forward]")
{
    request("order", "one");
    CHECK(all<dispatch_attempt>().empty());
    REQUIRE(only<events::append_intent>().has_value());
    CHECK(only<events::append_intent>()->id == own_id("one"));
    handle(events::intent_durable{own_id("one")});
    auto const dispatch = only<dispatch_attempt>();
    REQUIRE(dispatch.has_value());
    handle(events::intent_durable{own_id("one")});
    CHECK(all<dispatch_attempt>().empty());
    handle(events::attempt_result{dispatch->dispatch, attempt_end::answered, "answer"});
    REQUIRE(settled(*this, outcome::ran));
    CHECK(only<events::settle_request>()->is_journaled);
}

TEST_CASE_METHOD(fixture, "refused_intent_closes_request_as_not_run", "[forward]")
{
    request("order", "one");
    handle(events::intent_refused{own_id("one")});
    CHECK(replied(*this, outcome::not_run, reason::journal_unavailable));
    handle(events::intent_durable{own_id("one")});
    CHECK(all<dispatch_attempt>().empty());
}

// The intent becomes durable after the caller has received `not_run`; the request must not run
// then.
TEST_CASE_METHOD(fixture, "intent_after_deadline_dispatches_nothing", "[forward]")
{
    request("order", "one", "body", 1s);
    advance_time(1s);
    CHECK(replied(*this, outcome::not_run, reason::queue_deadline));
    handle(events::intent_durable{own_id("one")});
    CHECK(all<dispatch_attempt>().empty());
}

} // namespace pistachiohub::forward_test
