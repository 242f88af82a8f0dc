#include "plugins/store/journal_fence.hpp"
#include "plugins/store/journal_state.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace pistachiohub
{

namespace
{

using namespace std::chrono_literals;
using object_store::status;

class journal_fixture
{
protected:
    store::journal_state m_journal{"host-1", 5};
    kernel::monotonic_time m_now{1h};
    std::string m_text;

    [[nodiscard]] static identity::request_id id(std::string unique, std::uint32_t epoch = 0)
    {
        return {"host-1", 5, epoch, std::move(unique)};
    }

    void add(std::string unique, std::uint32_t epoch = 0)
    {
        m_journal.add_intent(id(std::move(unique), epoch), m_now);
    }

    /// Makes the due append and gives the store's answer to it.
    bool append(status end, std::uint64_t version, std::uint32_t current_epoch = 0)
    {
        auto const write = m_journal.next_write(m_now, current_epoch);
        if (!write)
            return false;
        m_text = write->text;
        m_journal.on_write({end, version}, m_now, 0.5);
        return true;
    }

    void read_back(std::uint64_t version, std::string text)
    {
        REQUIRE(m_journal.must_read_back(m_now));
        m_journal.on_read_back({status::ok, {"host-1.5", version, std::move(text)}}, m_now, 0.5);
    }

    [[nodiscard]] static std::string closed(std::string const& text, std::uint32_t epoch = 0)
    {
        auto journal = ledger::parse_journal(text);
        ledger::close_through(journal, epoch);
        return ledger::to_text(journal);
    }

    /// @returns the answers as `<unique>+` for durable and `<unique>-` for refused.
    [[nodiscard]] std::string answers()
    {
        std::string text;
        for (auto const& answer : m_journal.take_answers())
            text += answer.id.unique + (answer.is_durable ? '+' : '-');
        return text;
    }
};

} // namespace

TEST_CASE_METHOD(journal_fixture, "journal_intents_within_interval_share_one_append", "[store]")
{
    add("a");
    add("b");
    CHECK(append(status::ok, 1));
    CHECK(answers() == "a+b+");
    add("c");
    m_now += 24ms;
    CHECK_FALSE(append(status::ok, 2));
    m_now += 1ms;
    CHECK(append(status::ok, 2));
    CHECK(answers() == "c+");
}

// The store's rate is shared by all users; a busy daemon must not exceed its part.
TEST_CASE_METHOD(journal_fixture,
                 "journal_constant_load_makes_at_most_30_appends_a_second",
                 "[store]")
{
    int appends = 0;
    for (int step = 0; step < 3000; ++step, m_now += 1ms)
    {
        add(std::to_string(step));
        appends += append(status::ok, static_cast<std::uint64_t>(appends) + 1) ? 1 : 0;
    }
    CHECK(appends <= 90);
    CHECK(appends >= 85);
}

// A fenced owner that dispatched would run a request that its fencer reported as not run. One that
// refused intents of later epochs would refuse all work until it is restarted.
TEST_CASE_METHOD(journal_fixture, "journal_fence_refuses_intents_up_to_its_epoch_only", "[store]")
{
    add("a", 3);
    add("b", 4);
    REQUIRE(append(status::conflict, 0, 3));
    add("c", 2);
    add("d", 4);
    CHECK(answers().empty());
    read_back(1, ledger::to_text(store::make_closed_journal(id("x", 3))));
    CHECK(m_journal.closed_through_epoch() == 3);
    CHECK_FALSE(m_journal.is_fenced());
    CHECK(answers() == "a-c-");
    add("e", 3);
    CHECK(answers() == "e-");
    m_now += 1s;
    add("f", 5);
    auto const write = m_journal.next_write(m_now, 4);
    REQUIRE(write);
    CHECK(write->expected_version == 1);
    m_journal.on_write({status::ok, 2}, m_now, 0.5);
    CHECK(answers() == "b+d+f+");
    auto const journal = ledger::parse_journal(write->text);
    CHECK(journal.closed_through_epoch == 3);
    for (auto const* const unique : {"a", "e"})
        CHECK(store::judge(journal, id(unique, 3)).result == outcome::not_run);
    CHECK(store::judge(journal, id("c", 2)).result == outcome::not_run);
}

// A change that is neither a fence nor an own append leaves nothing that the owner may rely on.
TEST_CASE_METHOD(journal_fixture, "journal_conflict_without_fence_is_damage_for_good", "[store]")
{
    bool const is_readable = GENERATE(true, false);
    add("a");
    REQUIRE(append(status::ok, 1));
    auto const other = m_text;
    CHECK(answers() == "a+");
    m_now += 1s;
    add("b");
    REQUIRE(append(status::conflict, 2));
    read_back(2, is_readable ? other : "{");
    add("c", 7);
    CHECK(m_journal.is_fenced());
    CHECK(answers() == "b-c-");
    m_now += 1s;
    CHECK_FALSE(append(status::ok, 3));
}

// A lost bound would let ids run that fencers have reported as not run.
TEST_CASE_METHOD(journal_fixture, "journal_bound_survives_lost_answers_and_late_appends", "[store]")
{
    add("a", 1);
    REQUIRE(append(status::lost_answer, 0, 1));
    auto const late = m_text;
    m_journal.on_read_back({status::missing, {}}, m_now, 0.5);
    m_now += 1s;
    REQUIRE(append(status::lost_answer, 0, 1));
    // The first append takes effect late, then the fence; the second append never does.
    read_back(2, closed(late, 1));
    CHECK(answers() == "a-");
    m_now += 1s;
    add("b", 2);
    REQUIRE(append(status::lost_answer, 0, 2));
    CHECK(ledger::parse_journal(m_text).closed_through_epoch == 1);
    // An object without the bound, such as an old copy, must not lower it.
    read_back(3, late);
    add("c", 1);
    CHECK(answers() == "c-");
    m_now += 1s;
    REQUIRE(append(status::ok, 4, 2));
    CHECK(answers() == "b+");
    CHECK(ledger::parse_journal(m_text).closed_through_epoch == 1);
}

// Outcomes of closed epochs settle ids that the fencer reported as unresolved.
TEST_CASE_METHOD(journal_fixture, "journal_outcome_of_closed_epoch_is_appended", "[store]")
{
    add("a");
    REQUIRE(append(status::ok, 1));
    auto const fenced = closed(m_text);
    CHECK(store::judge(ledger::parse_journal(fenced), id("a")).result == outcome::unresolved);
    m_journal.add_outcome(id("a"), outcome::ran, m_now);
    m_now += 1s;
    REQUIRE(append(status::conflict, 0));
    read_back(2, fenced);
    m_now += 1s;
    REQUIRE(append(status::ok, 3));
    CHECK(store::judge(ledger::parse_journal(m_text), id("a")).result == outcome::ran);
}

// A wrong id must not close epochs that the owner reaches only in the far future.
TEST_CASE("journal_fence_plausible_epochs_follow_the_start_of_the_incarnation", "[store]")
{
    constexpr std::uint64_t started_at_ms = 1'700'000'000'000;
    constexpr std::uint64_t incarnation = started_at_ms * 1024 + 1023;
    auto const latest = [](std::uint64_t wall_clock_ms)
    {
        return store::latest_plausible_epoch(incarnation, wall_clock_ms);
    };
    CHECK(latest(started_at_ms) == store::epoch_margin);
    CHECK(latest(started_at_ms + 59'999) == store::epoch_margin);
    CHECK(latest(started_at_ms + 60'000) == store::epoch_margin + 1);
    CHECK(latest(started_at_ms - 60'000) == store::epoch_margin);
    CHECK(store::latest_plausible_epoch(0, std::uint64_t{1} << 63U) == 0xffffffff);
}

TEST_CASE_METHOD(journal_fixture,
                 "journal_lost_answer_with_effect_confirms_after_read_back",
                 "[store]")
{
    add("a");
    REQUIRE(append(status::lost_answer, 0));
    CHECK(answers().empty());
    add("b");
    CHECK_FALSE(append(status::ok, 1));
    read_back(1, m_text);
    CHECK(answers() == "a+");
    m_now += 1s;
    CHECK(append(status::ok, 2));
    CHECK(answers() == "b+");
}

// The first append takes effect after the read back; the conflict that it causes is no fence.
TEST_CASE_METHOD(journal_fixture, "journal_append_that_takes_effect_late_is_not_a_fence", "[store]")
{
    add("a");
    REQUIRE(append(status::lost_answer, 0));
    auto const late = m_text;
    m_journal.on_read_back({status::missing, {}}, m_now, 0.5);
    m_now += 1s;
    REQUIRE(append(status::conflict, 1));
    CHECK(answers().empty());
    read_back(1, late);
    CHECK_FALSE(m_journal.is_fenced());
    m_now += 1s;
    auto const write = m_journal.next_write(m_now, 0);
    REQUIRE(write);
    CHECK(write->expected_version == 1);
    m_journal.on_write({status::ok, 2}, m_now, 0.5);
    CHECK(answers() == "a+");
}

TEST_CASE_METHOD(journal_fixture,
                 "journal_closed_while_answer_was_lost_refuses_the_intent",
                 "[store]")
{
    add("a");
    REQUIRE(append(status::lost_answer, 0));
    read_back(2, closed(m_text));
    CHECK(m_journal.closed_through_epoch() == 0);
    CHECK(answers() == "a-");
    // The entry remains, so others do not call the id not run before the owner has.
    CHECK(store::judge(ledger::parse_journal(closed(m_text)), id("a")).result ==
          outcome::unresolved);
}

// Waiting for a store that is down would let requests run into their deadlines.
TEST_CASE_METHOD(journal_fixture, "journal_outage_refuses_at_once_and_recovers", "[store]")
{
    add("a");
    REQUIRE(append(status::outage, 0));
    add("b");
    CHECK(answers() == "a-b-");
    m_now += 1s;
    add("c");
    REQUIRE(append(status::ok, 1));
    CHECK(answers() == "c+");
    CHECK_FALSE(ledger::find_entry(ledger::parse_journal(m_text), id("a")));
}

TEST_CASE_METHOD(journal_fixture, "journal_over_rate_keeps_intents_for_next_append", "[store]")
{
    add("a");
    REQUIRE(append(status::over_rate, 0));
    CHECK(answers().empty());
    m_now += 1s;
    REQUIRE(append(status::ok, 1));
    CHECK(answers() == "a+");
}

TEST_CASE_METHOD(journal_fixture, "journal_outcome_is_appended_later", "[store]")
{
    add("a");
    REQUIRE(append(status::ok, 1));
    m_journal.add_outcome(id("a"), outcome::ran, m_now);
    CHECK_FALSE(m_journal.is_written());
    m_now += 249ms;
    CHECK_FALSE(append(status::ok, 2));
    m_now += 1ms;
    REQUIRE(append(status::ok, 2));
    CHECK(m_journal.is_written());
    CHECK(store::judge(ledger::parse_journal(closed(m_text)), id("a")).result == outcome::ran);
}

// A second intent for an id must not remove the first one when its append fails.
TEST_CASE_METHOD(journal_fixture, "journal_failed_second_intent_keeps_first_entry", "[store]")
{
    add("a");
    REQUIRE(append(status::ok, 1));
    m_now += 1s;
    add("a");
    REQUIRE(append(status::outage, 0));
    m_now += 1s;
    add("b");
    REQUIRE(append(status::ok, 2));
    CHECK(ledger::find_entry(ledger::parse_journal(m_text), id("a")));
}

TEST_CASE_METHOD(journal_fixture, "journal_old_epochs_are_removed_and_prove_nothing", "[store]")
{
    add("a", 0);
    REQUIRE(append(status::ok, 1));
    m_now += 1s;
    add("b", 11);
    add("late", 0);
    REQUIRE(append(status::ok, 2, 11));
    CHECK(answers() == "a+late-b+");
    auto const journal = ledger::parse_journal(closed(m_text, 11));
    CHECK(journal.first_epoch == 1);
    CHECK(store::judge(journal, id("a", 0)).result == outcome::unresolved);
    CHECK(store::judge(journal, id("b", 11)).result == outcome::unresolved);
    CHECK(store::judge(journal, id("c", 11)).result == outcome::not_run);
}

TEST_CASE_METHOD(journal_fixture, "journal_over_size_limit_removes_oldest_epochs", "[store]")
{
    m_journal = store::journal_state("host-1", 5, 200);
    add(std::string(64, 'a'), 0);
    REQUIRE(append(status::ok, 1));
    m_now += 1s;
    add(std::string(64, 'b'), 1);
    REQUIRE(append(status::ok, 2, 1));
    CHECK(m_text.size() <= 200);
    CHECK(ledger::parse_journal(m_text).first_epoch == 1);
    m_now += 1s;
    add(std::string(64, 'c'), 1);
    CHECK_FALSE(append(status::ok, 3, 1));
    CHECK(answers().back() == '-');
}

} // namespace pistachiohub
