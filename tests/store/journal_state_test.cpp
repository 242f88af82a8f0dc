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

    [[nodiscard]] static std::string closed(std::string const& text)
    {
        auto journal = ledger::parse_journal(text);
        journal.is_closed = true;
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

// A fenced owner that dispatched would run a request that its fencer reported as not run.
TEST_CASE_METHOD(journal_fixture, "journal_conflict_refuses_pending_and_later_intents", "[store]")
{
    add("a");
    REQUIRE(append(status::conflict, 1));
    add("b");
    CHECK(m_journal.is_fenced());
    CHECK(answers() == "a-b-");
    m_now += 1s;
    CHECK_FALSE(append(status::ok, 2));
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
    CHECK(m_journal.is_fenced());
    CHECK(answers() == "a-");
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
    auto const journal = ledger::parse_journal(closed(m_text));
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
