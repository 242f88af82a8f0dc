#include "tests/forward/fixture.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub::forward_test
{

using events::fence_owner;
using events::front_reply;
using messages::submit;
using messages::submit_reply;

namespace
{

struct forwarding_fixture : fixture
{
    identity::request_id id{"sibling", peer_incarnation, own_epoch, "one"};

    void resend(std::string_view service, std::uint32_t transmission = 2)
    {
        handle(events::caller_request{
            next_exchange++, id, transmission, std::string(service), now + 5s, "body"});
    }
};

} // namespace

TEST_CASE_METHOD(forwarding_fixture, "resend_is_forwarded_to_its_owner", "[forward]")
{
    resend("lock");
    auto const sent = only<submit>();
    REQUIRE(sent.has_value());
    CHECK(only<events::peer_command>()->recipient == "sibling");
    CHECK(only<events::peer_command>()->recipient_incarnation == peer_incarnation);
    submit_reply const answer{sent->exchange, outcome::ran, reason::ok, "answer"};
    receive("far", far_incarnation, answer);
    CHECK(actions.empty());
    receive("sibling", peer_incarnation, answer);
    REQUIRE(replied(*this, outcome::ran, reason::ok));
    CHECK(only<front_reply>()->answer == "answer");
    CHECK(only<front_reply>()->exchange == 1);
}

// The caller of a first transmission may be told `not_run`, because no other copy exists. If the
// transmission were forwarded as well, it could run nevertheless (rule R6).
TEST_CASE_METHOD(forwarding_fixture, "first_transmission_to_other_daemon_is_refused", "[forward]")
{
    resend("lock", 1);
    CHECK(replied(*this, outcome::not_run, reason::not_owner));
    CHECK(only<front_reply>()->has_lookup);
    CHECK(all<submit>().empty());
}

TEST_CASE_METHOD(forwarding_fixture, "owner_applies_submit_like_a_request", "[forward]")
{
    receive("far", far_incarnation, submit{7, own_id("one"), "lock", 5000, "body"});
    auto const dispatch = only<events::dispatch_attempt>();
    REQUIRE(dispatch.has_value());
    receive("far", far_incarnation, submit{7, own_id("one"), "lock", 5000, "body"});
    CHECK(actions.empty());
    handle(events::attempt_result{dispatch->dispatch, events::attempt_end::answered, "answer"});
    REQUIRE(only<submit_reply>().has_value());
    CHECK(only<submit_reply>()->exchange == 7);
    CHECK(only<events::peer_command>()->recipient_incarnation == far_incarnation);
    auto other = own_id("two");
    other.incarnation = own_incarnation - 1;
    receive("far", far_incarnation, submit{8, other, "lock", 5000, "body"});
    REQUIRE(only<submit_reply>().has_value());
    CHECK(only<submit_reply>()->cause == reason::owner_restarted);
}

// An owner that is unreachable or was restarted may have run the request, so the outcome is
// `unresolved` (rule R5).
TEST_CASE_METHOD(forwarding_fixture, "unreachable_owner_gives_unresolved", "[forward]")
{
    SECTION("silent")
    {
        world.entry_hosts[1].state = view::member_state::silent;
        resend("lock");
        CHECK(replied(*this, outcome::unresolved, reason::owner_unreachable));
    }
    SECTION("restarted")
    {
        world.entry_hosts[1].incarnation = peer_incarnation + 1;
        resend("lock");
        CHECK(replied(*this, outcome::unresolved, reason::owner_restarted));
    }
    SECTION("own_earlier_incarnation")
    {
        id = own_id("one");
        id.incarnation = own_incarnation - 1;
        resend("lock");
        CHECK(replied(*this, outcome::unresolved, reason::owner_restarted));
        CHECK(all<events::peer_command>().empty());
    }
    SECTION("unsent")
    {
        resend("lock");
        handle(events::peer_unsent{only<submit>().value()});
        CHECK(replied(*this, outcome::unresolved, reason::owner_unreachable));
    }
    SECTION("silent_later")
    {
        resend("lock");
        world.entry_hosts[1].state = view::member_state::silent;
        advance_time(10ms);
        CHECK(replied(*this, outcome::unresolved, reason::owner_unreachable));
    }
    SECTION("no_reply")
    {
        resend("lock");
        advance_time(5s);
        CHECK(replied(*this, outcome::unresolved, reason::deadline));
    }
    CHECK(state.forwards.pending.empty());
}

// For a service with a journal, fencing the journal gives the outcome of a request whose owner is
// unreachable.
TEST_CASE_METHOD(forwarding_fixture, "journal_of_unreachable_owner_is_fenced", "[forward]")
{
    world.entry_hosts[1].state = view::member_state::silent;
    resend("order");
    REQUIRE(only<fence_owner>().has_value());
    CHECK(only<fence_owner>()->id == id);
    CHECK(all<front_reply>().empty());
    SECTION("absent")
    {
        handle(events::fence_result{id, outcome::not_run, reason::fenced});
        CHECK(replied(*this, outcome::not_run, reason::fenced));
    }
    SECTION("store_is_down")
    {
        advance_time(5s);
        CHECK(replied(*this, outcome::unresolved, reason::owner_unreachable));
    }
    CHECK(state.forwards.pending.empty());
}

// Lookups that were answered before the shutdown began may still lead callers here, so new requests
// are accepted until the time to live of these lookups has passed (invariant I7).
TEST_CASE_METHOD(fixture, "drain_accepts_for_ttl_then_refuses_then_flushes", "[forward]")
{
    request("lock", "one", "body", 20s);
    auto const dispatch = only<events::dispatch_attempt>().value();
    world.is_draining = true;
    advance_time(10ms);
    request("lock", "two", "body", 20s);
    auto const second = only<events::dispatch_attempt>();
    REQUIRE(second.has_value());
    advance_time(2s);
    request("lock", "three");
    REQUIRE(replied(*this, outcome::not_run, reason::draining));
    CHECK(only<front_reply>()->has_lookup);
    request("lock", "one", "body", 20s);
    CHECK(all<front_reply>().empty());
    handle(events::attempt_result{dispatch.dispatch, events::attempt_end::answered, "answer"});
    CHECK(all<front_reply>().size() == 2);
    advance_time(10ms);
    CHECK(all<events::flush_settlement>().empty());
    handle(events::attempt_result{second->dispatch, events::attempt_end::answered, "answer"});
    advance_time(10ms);
    CHECK(only<events::flush_settlement>().has_value());
    advance_time(10ms);
    CHECK(all<events::flush_settlement>().empty());
}

// The settlement is written for the last time at the end of the shutdown. A request that ended
// later would be missing from it, although its caller was told an outcome.
TEST_CASE_METHOD(fixture, "request_after_flush_of_drain_is_refused_without_settlement", "[forward]")
{
    world.is_draining = true;
    advance_time(10ms);
    advance_time(2s);
    REQUIRE(only<events::flush_settlement>().has_value());
    SECTION("from_caller")
    {
        request("lock", "late");
        CHECK(replied(*this, outcome::not_run, reason::not_ready));
        CHECK(only<front_reply>()->has_lookup);
    }
    SECTION("from_peer")
    {
        receive(
            "sibling", peer_incarnation, messages::submit{7, own_id("late"), "lock", 5000, "body"});
        auto const reply = only<messages::submit_reply>();
        REQUIRE(reply.has_value());
        CHECK(reply->result == outcome::not_run);
        CHECK(reply->cause == reason::not_ready);
    }
    CHECK(all<events::settle_request>().empty());
}

TEST_CASE_METHOD(fixture, "usage_report_offers_nothing_during_drain", "[forward]")
{
    advance_time(100ms);
    REQUIRE(only<events::usage_report>().has_value());
    CHECK_FALSE(only<events::usage_report>()->credits.empty());
    advance_time(50ms);
    CHECK(all<events::usage_report>().empty());
    world.is_draining = true;
    advance_time(100ms);
    REQUIRE(only<events::usage_report>().has_value());
    CHECK(only<events::usage_report>()->credits.empty());
}

} // namespace pistachiohub::forward_test
