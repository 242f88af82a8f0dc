#include "libraries/ledger/settlement_report.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

class report_fixture
{
protected:
    report_fixture()
    {
        ledger::settlement_window window{2, 3, {}};
        window.services["redeem"] = {5, 1, 1};
        m_settlements.push_back({"host-1", 5, 1, {window}, {{"host-1/5/2/a", "redeem"}}, 0});
        // A second daemon lists an id of the first and two of a daemon that was killed.
        m_settlements.push_back(
            {"host-2",
             6,
             1,
             {},
             {{"host-1/5/2/a", "redeem"}, {"host-3/7/0/b", "redeem"}, {"host-3/7/0/c", "redeem"}},
             0});
        m_settlements.push_back({"host-4", 8, 1, {}, {{"host-3/7/0/c", "redeem"}}, 0});
        ledger::journal_document journal;
        journal.host = "host-3";
        journal.incarnation = 7;
        journal.closed_through_epoch = 0;
        journal.epochs[0] = {{"b", ledger::journal_entry::ran},
                             {"d", ledger::journal_entry::pending}};
        m_journals.push_back(journal);
    }

    std::vector<ledger::settlement_document> m_settlements;
    std::vector<ledger::journal_document> m_journals;

    [[nodiscard]] std::string_view describe(std::string_view id) const
    {
        return ledger::describe_id(*identity::parse_request_id(id), m_settlements, m_journals);
    }
};

} // namespace

// Two daemons that both gave up on one id must not make it two ids in the partner's sums.
TEST_CASE_METHOD(report_fixture, "report_id_listed_by_several_daemons_counts_once", "[store]")
{
    auto const report = ledger::make_report(m_settlements, m_journals);
    CHECK(report.services.at("redeem") == ledger::outcome_counts{6, 1, 2});
    REQUIRE(report.unresolved.size() == 2);
    CHECK(report.unresolved[0].id == "host-1/5/2/a");
    CHECK(report.unresolved[1].id == "host-3/7/0/c");
}

TEST_CASE_METHOD(report_fixture, "report_describes_each_id", "[store]")
{
    CHECK(describe("host-3/7/0/b") == "ran");
    CHECK(describe("host-3/7/0/d") == "unresolved");
    CHECK(describe("host-1/5/2/a") == "unresolved");
    CHECK(describe("host-1/5/3/x") == "counted in window");
    CHECK(describe("host-1/5/4/x") == "unknown");
    CHECK(describe("host-9/5/3/x") == "unknown");
}

TEST_CASE("ledger_damaged_text_is_refused", "[store]")
{
    auto const text =
        GENERATE(as<std::string>{}, "", "[]", "{}", R"({"host":"a","incarnation":"x"})");
    CHECK_THROWS_AS(ledger::parse_settlement(text), ledger::ledger_error);
    CHECK_THROWS_AS(ledger::parse_journal(text), ledger::ledger_error);
}

} // namespace pistachiohub
