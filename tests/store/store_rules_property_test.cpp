#include "plugins/store/journal_fence.hpp"
#include "plugins/store/journal_state.hpp"
#include "plugins/store/settlement_flush.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace pistachiohub
{

namespace
{

using namespace std::chrono_literals;
using object_store::status;

/// One object of a store whose writes can be lost, take effect late or be refused.
class faulty_object
{
public:
    [[nodiscard]] object_store::write_result write(store::due_write const& wanted, int fate)
    {
        switch (fate)
        {
        case 0:
            return {status::over_rate, 0};
        case 1:
            return {status::outage, 0};
        case 2:
            m_late.push_back(wanted);
            return {status::lost_answer, 0};
        case 3:
            static_cast<void>(apply(wanted));
            return {status::lost_answer, 0};
        default:
            break;
        }
        return {apply(wanted) ? status::ok : status::conflict, m_version};
    }

    [[nodiscard]] object_store::read_result read(int fate) const
    {
        if (fate < 2)
            return {status::outage, {}};
        return {m_version == 0 ? status::missing : status::ok, {"host-1.5", m_version, m_text}};
    }

    /// Lets the oldest late write take effect if its condition still holds.
    void apply_late()
    {
        if (m_late.empty())
            return;
        static_cast<void>(apply(m_late.front()));
        m_late.erase(m_late.begin());
    }

    /// Fences the journal as another daemon does.
    /// @returns the journal that the daemon then keeps.
    ledger::journal_document close(std::uint32_t epoch)
    {
        auto journal = m_version == 0 ? store::make_closed_journal({"host-1", 5, epoch, "x"})
                                      : ledger::parse_journal(m_text);
        if (m_version != 0 && !ledger::close_through(journal, epoch))
            return journal;
        m_text = ledger::to_text(journal);
        ++m_version;
        return journal;
    }

    [[nodiscard]] std::string const& text() const
    {
        return m_text;
    }

private:
    bool apply(store::due_write const& wanted)
    {
        if (wanted.expected_version != m_version)
            return false;
        ++m_version;
        m_text = wanted.text;
        return true;
    }

    std::uint64_t m_version = 0;
    std::string m_text;
    std::vector<store::due_write> m_late;
};

/// A step of a random run: what happens, and the fate of a call to the store.
struct random_step
{
    int action = 0;
    int fate = 0;
};

std::vector<random_step> random_steps()
{
    auto const numbers = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 64));
    std::vector<random_step> steps;
    for (int const number : numbers)
        steps.push_back({number % 8, number / 8});
    return steps;
}

template<class State, class Write>
void call_store(
    State& state, faulty_object& object, kernel::monotonic_time now, int fate, Write next_write)
{
    if (state.must_read_back(now))
        state.on_read_back(object.read(fate), now, 0.5);
    else if (auto const write = next_write())
        state.on_write(object.write(*write, fate), now, 0.5);
}

} // namespace

// I4 and I5: an id that the owner may dispatch must never be judged as not run, by any daemon at
// any time, whatever is lost, late or fenced. No fence may end the owner's work for good.
TEST_CASE("journal_random_faults_never_confirm_an_id_that_a_fence_calls_not_run", "[store]")
{
    bool const is_held = rc::check(
        []()
        {
            store::journal_state journal("host-1", 5);
            faulty_object object;
            kernel::monotonic_time now{1h};
            std::vector<identity::request_id> added;
            std::vector<identity::request_id> confirmed;
            std::vector<ledger::journal_document> fenced;
            std::uint32_t newest_epoch = 0;
            std::size_t confirmed_after_fence = 0;
            for (auto const& step : random_steps())
            {
                now += 30ms * step.fate;
                auto const epoch = static_cast<std::uint32_t>((now.time_since_epoch() - 1h) / 1s);
                newest_epoch = std::max(newest_epoch, epoch);
                if (auto const bound = journal.closed_through_epoch())
                    newest_epoch = std::max(newest_epoch, *bound + 1);
                if (step.action < 2)
                {
                    // A caller may hold an epoch that has been fenced since.
                    auto const used = step.action == 0 ? newest_epoch : epoch;
                    added.push_back({"host-1", 5, used, std::to_string(added.size())});
                    journal.add_intent(added.back(), now);
                }
                else if (step.action == 2)
                    object.apply_late();
                else if (step.action == 3 && step.fate < 2 && !added.empty())
                    fenced.push_back(
                        object.close(added[(added.size() - 1) / (1U + step.fate)].epoch));
                else if (step.action == 3 && !confirmed.empty())
                    journal.add_outcome(confirmed.back(), outcome::ran, now);
                else
                    call_store(journal,
                               object,
                               now,
                               step.fate,
                               [&]()
                               {
                                   return journal.next_write(now, newest_epoch);
                               });
                for (auto const& answer : journal.take_answers())
                {
                    if (!answer.is_durable)
                        continue;
                    confirmed.push_back(answer.id);
                    confirmed_after_fence += fenced.empty() ? 0 : 1;
                }
                RC_ASSERT(!journal.is_fenced());
                if (!fenced.empty())
                    RC_ASSERT((ledger::parse_journal(object.text()).closed_through_epoch >=
                               fenced.back().closed_through_epoch));
            }
            bool const was_fenced = !fenced.empty();
            fenced.push_back(object.close(newest_epoch + 1));
            for (auto const& closed : fenced)
            {
                for (auto const& id : confirmed)
                {
                    if (ledger::is_closed(closed, id.epoch))
                        RC_ASSERT(store::judge(closed, id).result != outcome::not_run);
                }
            }
            RC_CLASSIFY(confirmed.size() > 10);
            RC_CLASSIFY(was_fenced);
            RC_CLASSIFY(confirmed_after_fence > 10);
            // After the faults, an intent of the next epoch is confirmed.
            identity::request_id const last{"host-1", 5, newest_epoch + 2, "last"};
            bool is_last_confirmed = false;
            for (int attempt = 0; attempt < 10; ++attempt, now += 10s)
            {
                if (attempt == 2)
                    journal.add_intent(last, now);
                call_store(journal,
                           object,
                           now,
                           7,
                           [&]()
                           {
                               return journal.next_write(now, newest_epoch + 2);
                           });
                for (auto const& answer : journal.take_answers())
                    is_last_confirmed |= answer.id == last && answer.is_durable;
            }
            RC_ASSERT(is_last_confirmed);
        });
    CHECK(is_held);
}

// Both sides of the settlement must see each id once, whatever answers are lost or late.
TEST_CASE("settlement_random_faults_end_with_each_id_counted_once", "[store]")
{
    bool const is_held = rc::check(
        []()
        {
            store::settlement_ledger counters("host-1", 5);
            store::settlement_flush flush(counters);
            faulty_object object;
            kernel::monotonic_time now{1h};
            std::uint64_t counted = 0;
            auto const next_write = [&]()
            {
                return flush.next_write(now);
            };
            for (auto const& step : random_steps())
            {
                now += 100ms * step.fate;
                if (step.action < 2)
                    counters.count({{"host-1", 5, 0, std::to_string(counted++)}, "s", outcome::ran},
                                   0);
                else if (step.action == 2)
                    object.apply_late();
                else
                    call_store(flush, object, now, step.fate, next_write);
            }
            for (int attempt = 0; attempt < 10; ++attempt, now += 10s)
                call_store(flush, object, now, 7, next_write);
            RC_ASSERT(flush.is_written());
            if (counted > 0)
            {
                auto const written = ledger::parse_settlement(object.text());
                RC_ASSERT(written.windows.at(0).services.at("s").ran == counted);
            }
        });
    CHECK(is_held);
}

} // namespace pistachiohub
