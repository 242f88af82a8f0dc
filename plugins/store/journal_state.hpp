#pragma once

/// @file
/// Pure rules of the own journal: group commit, lost answers, fencing.

#include "kernel/clock.hpp"
#include "libraries/ledger/journal_document.hpp"
#include "libraries/object_store/object_store.hpp"
#include "plugins/store/settlement_flush.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace pistachiohub::store
{

/// Shortest time between two appends.
inline constexpr auto journal_interval = std::chrono::milliseconds(25);
/// Appends within any second.
inline constexpr std::size_t most_appends_per_second = 30;
/// Outcomes wait this long for an append of intents before they are appended alone.
inline constexpr auto outcome_delay = std::chrono::milliseconds(250);
/// Epochs whose entries are kept.
inline constexpr std::uint32_t journal_retention = 10;

/// The answer to an intent.
struct intent_answer
{
    identity::request_id id;
    bool is_durable = false;
};

/// The journal of this incarnation.
class journal_state
{
public:
    journal_state(std::string host,
                  std::uint64_t incarnation,
                  std::size_t largest_text = object_store::largest_value);

    /// Queues an intent; refused at once when its epoch is fenced or while the store is down.
    void add_intent(identity::request_id const& id, kernel::monotonic_time now);

    /// Notes the outcome of an id whose intent is written.
    void add_outcome(identity::request_id const& id, outcome result, kernel::monotonic_time now);

    /// @returns the append that is due, or nothing. Its result goes to on_write().
    [[nodiscard]] std::optional<due_write> next_write(kernel::monotonic_time now,
                                                      std::uint32_t current_epoch);

    /// @returns true when the journal must be read before anything else is decided.
    [[nodiscard]] bool must_read_back(kernel::monotonic_time now) const;

    void
    on_write(object_store::write_result const& result, kernel::monotonic_time now, double random);
    void on_read_back(object_store::read_result const& result,
                      kernel::monotonic_time now,
                      double random);

    /// @returns the answers since the last call.
    [[nodiscard]] std::vector<intent_answer> take_answers();

    /// @returns true when the journal was damaged, which ends its use for good.
    [[nodiscard]] bool is_fenced() const;

    /// @returns the newest epoch that is known to be fenced by another daemon.
    [[nodiscard]] std::optional<std::uint32_t> closed_through_epoch() const;

    /// @returns true when no intent and no outcome waits to be written.
    [[nodiscard]] bool is_written() const;

    /// @returns when to call next_write() or must_read_back() again, or nothing.
    [[nodiscard]] std::optional<kernel::monotonic_time> next_due() const;

private:
    enum class phase
    {
        open,
        /// An append may or may not have taken effect.
        in_doubt,
        fenced
    };

    struct intent_in_flight
    {
        identity::request_id id;
        /// Entry before the append, to be restored when the append is not made.
        std::optional<ledger::journal_entry> previous;
    };

    [[nodiscard]] kernel::monotonic_time earliest_append() const;
    void answer_pending();
    void answer_in_flight(bool is_durable);
    void insert_pending();
    void refuse_removed_epochs();
    void refuse_closed_epochs();
    void restore_entries();
    void requeue_in_flight();
    void remove_epochs_before(std::uint32_t epoch);
    void accept(std::uint64_t version);
    void fence();
    void delay(kernel::monotonic_time now, double random);

    ledger::journal_document m_journal;
    std::size_t m_largest_text;
    phase m_phase = phase::open;
    std::uint64_t m_version = 0;
    std::vector<identity::request_id> m_pending;
    std::vector<intent_in_flight> m_in_flight;
    std::vector<intent_answer> m_answers;
    std::deque<kernel::monotonic_time> m_recent_appends;
    std::optional<kernel::monotonic_time> m_outcomes_since;
    std::optional<kernel::monotonic_time> m_appended_outcomes_since;
    /// The append was refused for a change of the object by somebody else.
    bool m_has_conflict = false;
    /// An append that was read back as without effect may still take effect.
    bool m_may_append_late = false;
    /// New intents are refused until then, because the store is down.
    kernel::monotonic_time m_not_before;
    bool m_is_down = false;
    unsigned m_failures = 0;
};

} // namespace pistachiohub::store
