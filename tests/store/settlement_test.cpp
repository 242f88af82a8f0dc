#include "plugins/store/settlement_flush.hpp"
#include "plugins/store/settlement_ledger.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace pistachiohub
{

namespace
{

using namespace std::chrono_literals;
using object_store::status;

class settlement_fixture
{
protected:
    store::settlement_ledger m_ledger{"host-1", 5};
    store::settlement_flush m_flush{m_ledger};
    kernel::monotonic_time m_now{1h};
    std::string m_text;

    void count(std::string unique,
               outcome result,
               bool was_unresolved = false,
               std::uint32_t epoch = 0,
               std::string owner = "host-1")
    {
        m_ledger.count({{std::move(owner), 5, epoch, std::move(unique)},
                        "redeem",
                        result,
                        reason::ok,
                        was_unresolved,
                        false},
                       1000);
    }

    [[nodiscard]] ledger::settlement_document document()
    {
        return ledger::parse_settlement(m_ledger.text(1, object_store::largest_value));
    }

    bool write(status end, std::uint64_t version)
    {
        auto const due = m_flush.next_write(m_now);
        if (!due)
            return false;
        m_text = due->text;
        m_flush.on_write({end, version}, m_now, 0.5);
        return true;
    }
};

} // namespace

TEST_CASE_METHOD(settlement_fixture,
                 "settlement_settled_id_moves_within_its_window_once",
                 "[store]")
{
    count("a", outcome::ran, false, 1);
    count("b", outcome::unresolved, false, 2);
    count("b", outcome::unresolved, false, 2);
    CHECK(document().windows[1].services.at("redeem") == ledger::outcome_counts{0, 0, 1});
    REQUIRE(document().unresolved.size() == 1);
    CHECK(document().unresolved[0].id == "host-1/5/2/b");
    count("b", outcome::not_run, true, 2);
    count("b", outcome::not_run, true, 2);
    CHECK(document().unresolved.empty());
    CHECK(document().windows[1].services.at("redeem") == ledger::outcome_counts{0, 1, 0});
}

// The owner counts its own ids, so a second count by a daemon that gave up on it would be double.
TEST_CASE_METHOD(settlement_fixture, "settlement_foreign_id_is_listed_and_not_counted", "[store]")
{
    count("a", outcome::unresolved, false, 0, "host-2");
    CHECK(document().windows.empty());
    CHECK(document().unresolved.size() == 1);
    count("a", outcome::ran, true, 0, "host-2");
    CHECK(document().unresolved.empty());
    CHECK(document().windows.empty());
}

TEST_CASE_METHOD(settlement_fixture,
                 "settlement_old_windows_are_merged_within_size_limit",
                 "[store]")
{
    constexpr std::size_t limit = 4000;
    for (std::uint32_t epoch = 0; epoch < 500; ++epoch)
        count("a", outcome::ran, false, epoch);
    auto const text = m_ledger.text(1, limit);
    CHECK(text.size() <= limit);
    auto const merged = ledger::parse_settlement(text);
    std::uint64_t sum = 0;
    std::uint32_t next_epoch = 0;
    for (auto const& window : merged.windows)
    {
        CHECK(window.first_epoch == next_epoch);
        next_epoch = window.last_epoch + 1;
        sum += window.services.at("redeem").ran;
    }
    CHECK(sum == 500);
    CHECK(merged.windows.back().first_epoch == 499);
}

TEST_CASE_METHOD(settlement_fixture,
                 "settlement_many_unresolved_ids_stay_within_size_limit",
                 "[store]")
{
    for (int number = 0; number < 300; ++number)
        count(std::to_string(number), outcome::unresolved);
    auto const document = ledger::parse_settlement(m_ledger.text(1, 4000));
    CHECK(document.unresolved.size() + document.unlisted_unresolved == 300);
    CHECK_FALSE(document.unresolved.empty());
}

// Counts are cumulative and the object is replaced, so a repeated flush must not add to them.
TEST_CASE_METHOD(settlement_fixture, "settlement_flushed_twice_counts_once", "[store]")
{
    count("a", outcome::ran);
    REQUIRE(write(status::lost_answer, 0));
    REQUIRE(m_flush.must_read_back(m_now));
    m_flush.on_read_back({status::missing, {}}, m_now, 0.5);
    m_now += 1s;
    REQUIRE(write(status::conflict, 1));
    m_flush.on_read_back({status::ok, {"host-1.5", 1, m_text}}, m_now, 0.5);
    m_now += 1s;
    CHECK(m_flush.is_written());
    CHECK(ledger::parse_settlement(m_text).windows[0].services.at("redeem").ran == 1);
}

TEST_CASE_METHOD(settlement_fixture,
                 "settlement_lost_answer_with_effect_is_not_written_again",
                 "[store]")
{
    count("a", outcome::ran);
    REQUIRE(write(status::lost_answer, 0));
    CHECK_FALSE(write(status::ok, 1));
    m_flush.on_read_back({status::ok, {"host-1.5", 1, m_text}}, m_now, 0.5);
    CHECK(m_flush.is_written());
    m_now += 10s;
    CHECK_FALSE(write(status::ok, 2));
}

TEST_CASE_METHOD(settlement_fixture, "settlement_is_written_at_most_once_a_second", "[store]")
{
    count("a", outcome::ran);
    REQUIRE(write(status::ok, 1));
    count("b", outcome::ran);
    m_now += 999ms;
    CHECK_FALSE(write(status::ok, 2));
    m_now += 1ms;
    CHECK(write(status::ok, 2));
}

} // namespace pistachiohub
