#include "tests/forward/fixture.hpp"

#include "plugins/forward/relay_sender.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub::forward_test
{

using events::attempt_end;
using events::dispatch_attempt;
using messages::relay;
using messages::relay_cancel;
using messages::relay_reply;

namespace
{

/// The owner of relayed requests: its failure domain has no server for "lock" and "look", and host
/// "sibling" offers credits for both.
struct owner_fixture : fixture
{
    owner_fixture()
    {
        remove_servers("lock");
        remove_servers("look");
        for (auto const* const service : {"look", "lock"})
            state.services[service].retries.tokens = 5;
        offer_credits("sibling", "lock", 2);
        offer_credits("sibling", "look", 2);
    }

    void reply(relay const& sent, outcome result, reason cause, std::string answer = {})
    {
        receive("sibling",
                peer_incarnation,
                relay_reply{sent.id, sent.attempt, result, cause, {}, std::move(answer)});
    }
};

/// The receiver of relays whose owner is host "sibling".
struct receiver_fixture : fixture
{
    static relay make_relay(std::string_view unique, std::uint32_t attempt = 1)
    {
        return {{"sibling", peer_incarnation, own_epoch, std::string(unique)},
                attempt,
                "lock",
                5000,
                false,
                "body"};
    }

    void receive_from_owner(auto content)
    {
        receive("sibling", peer_incarnation, std::move(content));
    }
};

} // namespace

TEST_CASE_METHOD(owner_fixture, "relayed_request_is_answered", "[forward]")
{
    request("lock", "one");
    auto const sent = only<relay>();
    REQUIRE(sent.has_value());
    CHECK(only<events::peer_command>()->recipient == "sibling");
    CHECK(only<events::peer_command>()->recipient_incarnation == peer_incarnation);
    reply(*sent, outcome::ran, reason::ok, "answer");
    CHECK(replied(*this, outcome::ran, reason::ok));
    CHECK(state.credits.empty());
    reply(*sent, outcome::ran, reason::ok, "answer");
    CHECK(actions.empty());
}

// Only the incarnation that the relay was sent to knows its outcome.
TEST_CASE_METHOD(owner_fixture, "reply_of_wrong_host_or_incarnation_is_ignored", "[forward]")
{
    request("lock", "one");
    auto const sent = only<relay>().value();
    relay_reply const forged{sent.id, sent.attempt, outcome::not_run, reason::cancelled, {}, {}};
    receive("far", far_incarnation, forged);
    receive("sibling", peer_incarnation + 1, forged);
    CHECK(actions.empty());
    CHECK(state.requests.open_requests == 1);
}

// An at-most-once relay without a reply may have run. A retry could run it twice (rules R3 and R4).
TEST_CASE_METHOD(owner_fixture, "silent_relay_is_queried_and_stays_unresolved", "[forward]")
{
    offer_credits("far", "lock", 2);
    request("lock", "one");
    auto const sent = only<relay>().value();
    advance_time(500ms);
    REQUIRE(only<relay_cancel>().has_value());
    CHECK(only<relay_cancel>()->attempt == sent.attempt);
    CHECK(all<relay>().empty());
    advance_time(5s);
    CHECK(replied(*this, outcome::unresolved, reason::deadline));
    SECTION("proof_comes_late")
    {
        reply(sent, outcome::not_run, reason::relay_silent);
        CHECK(settled(*this, outcome::not_run, true));
    }
    SECTION("answer_comes_late")
    {
        reply(sent, outcome::ran, reason::ok, "late");
        CHECK(settled(*this, outcome::ran, true));
    }
    SECTION("nothing_comes")
    {
        for (std::uint32_t query = 0; query <= forward::max_relay_queries_after_deadline; ++query)
            advance_time(500ms);
        CHECK(state.requests.timers.empty());
        CHECK(state.credits.empty());
    }
}

TEST_CASE_METHOD(owner_fixture, "relay_proven_not_run_is_retried_elsewhere", "[forward]")
{
    offer_credits("far", "lock", 2);
    for (int number = 0; number < 10; ++number)
        limit::record_request(state.services["lock"].shifts, now);
    state.services["lock"].shifts.permitted_fraction = 1;
    state.services["lock"].shifts.last_ramp_update = now;
    state.services["lock"].shifts.is_started = true;
    request("lock", "one");
    auto const sent = only<relay>().value();
    auto const is_unsent = GENERATE(true, false);
    if (is_unsent)
        handle(events::peer_unsent{sent});
    else
        reply(sent, outcome::not_run, reason::destination_refused);
    auto const second = only<events::peer_command>();
    REQUIRE(second.has_value());
    CHECK(second->recipient == "far");
    CHECK(only<relay>()->attempt == 2);
}

// A shift to another region that was never sent must not count against the shift cap (invariant
// I1).
TEST_CASE_METHOD(owner_fixture, "unsent_shift_is_taken_back", "[forward]")
{
    world.entry_hosts[1].credits.clear();
    offer_credits("far", "lock", 2);
    auto& shifts = state.services["lock"].shifts;
    shifts.permitted_fraction = 1;
    shifts.last_ramp_update = now;
    shifts.is_started = true;
    request("lock", "one");
    auto const sent = only<relay>().value();
    auto const count_shifted = [&shifts]()
    {
        std::uint64_t shifted = 0;
        for (auto const& bucket : shifts.buckets)
            shifted += bucket.shifted;
        return shifted;
    };
    CHECK(count_shifted() == 1);
    handle(events::peer_unsent{sent});
    CHECK(count_shifted() == 0);
}

TEST_CASE_METHOD(owner_fixture, "shift_over_the_cap_waits", "[forward]")
{
    world.entry_hosts[1].credits.clear();
    offer_credits("far", "lock", 2);
    request("lock", "one");
    CHECK(all<relay>().empty());
    CHECK(state.queue.size == 1);
}

// An idempotent request is retried at the next check after its receiver became silent, instead of
// waiting until its deadline.
TEST_CASE_METHOD(owner_fixture, "idempotent_relay_to_silent_host_is_retried", "[forward]")
{
    request("look", "one");
    REQUIRE(only<relay>().has_value());
    world.entry_hosts[1].state = view::member_state::silent;
    for (auto& server : world.backend_servers)
        server.state = view::member_state::live;
    advance_time(500ms);
    CHECK(only<dispatch_attempt>().has_value());
}

// The network may duplicate a relay message. The duplicate must not run again (rule R4, invariant
// I5).
TEST_CASE_METHOD(receiver_fixture, "repeated_relay_is_dispatched_once", "[forward]")
{
    receive_from_owner(make_relay("one"));
    auto const dispatch = only<dispatch_attempt>().value();
    receive_from_owner(make_relay("one"));
    CHECK(all<dispatch_attempt>().empty());
    handle(events::attempt_result{dispatch.dispatch, attempt_end::answered, "answer"});
    REQUIRE(only<relay_reply>().has_value());
    CHECK(only<relay_reply>()->answer == "answer");
    receive_from_owner(make_relay("one"));
    CHECK(all<dispatch_attempt>().empty());
    CHECK(only<relay_reply>()->result == outcome::ran);
}

// A cancellation may arrive before its relay and is answered `not_run`. The relay must then not be
// dispatched when it arrives.
TEST_CASE_METHOD(receiver_fixture, "cancelled_relay_is_refused_when_it_arrives_later", "[forward]")
{
    auto const late = make_relay("one");
    receive_from_owner(relay_cancel{late.id, late.attempt});
    REQUIRE(only<relay_reply>().has_value());
    CHECK(only<relay_reply>()->result == outcome::not_run);
    receive_from_owner(late);
    CHECK(all<dispatch_attempt>().empty());
    CHECK(only<relay_reply>()->result == outcome::not_run);
}

// A cancellation of a running relay does not show whether the run will end, so `not_run` must not
// be replied before the backend server confirms it.
TEST_CASE_METHOD(receiver_fixture, "cancel_of_running_relay_is_not_answered_early", "[forward]")
{
    auto const running = make_relay("one");
    receive_from_owner(running);
    auto const dispatch = only<dispatch_attempt>().value();
    receive_from_owner(relay_cancel{running.id, running.attempt});
    CHECK(actions.empty());
    handle(events::attempt_result{dispatch.dispatch, attempt_end::broken, {}});
    CHECK(only<events::cancel_attempt>().has_value());
    CHECK(all<relay_reply>().empty());
    auto const is_cancelled = GENERATE(true, false);
    handle(events::cancel_result{dispatch.dispatch, is_cancelled});
    REQUIRE(only<relay_reply>().has_value());
    CHECK(only<relay_reply>()->result == (is_cancelled ? outcome::not_run : outcome::unresolved));
    CHECK(state.relays.open_runs == 0);
}

TEST_CASE_METHOD(receiver_fixture, "relay_without_spare_slot_is_refused_for_good", "[forward]")
{
    remove_servers("lock");
    receive_from_owner(make_relay("one"));
    CHECK(only<relay_reply>()->cause == reason::destination_refused);
    for (auto& server : world.backend_servers)
        server.state = view::member_state::live;
    receive_from_owner(make_relay("one"));
    CHECK(all<dispatch_attempt>().empty());
    CHECK(only<relay_reply>()->result == outcome::not_run);
    receive_from_owner(make_relay("one", 2));
    CHECK(only<dispatch_attempt>().has_value());
}

// Once the record of an attempt has expired, a late duplicate of its relay must neither run again
// nor be answered `not_run`.
TEST_CASE_METHOD(receiver_fixture, "relay_of_expired_epoch_is_unresolved", "[forward]")
{
    receive_from_owner(make_relay("one"));
    handle(events::attempt_result{
        only<dispatch_attempt>().value().dispatch, attempt_end::answered, "answer"});
    world.entry_hosts[1].epoch = own_epoch + forward::retention_epochs + 1;
    advance_time(2s);
    CHECK(state.relays.runs.empty());
    receive_from_owner(make_relay("one"));
    CHECK(all<dispatch_attempt>().empty());
    CHECK(only<relay_reply>()->result == outcome::unresolved);
    receive("sibling", peer_incarnation + 1, make_relay("two"));
    CHECK(actions.empty());
}

TEST_CASE_METHOD(receiver_fixture, "overdue_relay_is_cancelled_and_replied_late", "[forward]")
{
    receive_from_owner(make_relay("one"));
    auto const dispatch = only<dispatch_attempt>().value();
    advance_time(5s);
    CHECK(only<events::cancel_attempt>().has_value());
    advance_time(forward::follow_up_time);
    REQUIRE(only<relay_reply>().has_value());
    CHECK(only<relay_reply>()->result == outcome::unresolved);
    handle(events::attempt_result{dispatch.dispatch, attempt_end::answered, "late"});
    CHECK(only<relay_reply>()->answer == "late");
}

} // namespace pistachiohub::forward_test
