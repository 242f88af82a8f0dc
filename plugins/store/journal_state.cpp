#include "plugins/store/journal_state.hpp"

#include "plugins/store/backoff.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pistachiohub::store
{

namespace
{

// Intents that the store refuses for its rate wait for this many attempts.
constexpr unsigned most_over_rate_attempts = 3;

ledger::journal_entry to_entry(outcome result)
{
    switch (result)
    {
    case outcome::ran:
        return ledger::journal_entry::ran;
    case outcome::not_run:
        return ledger::journal_entry::not_run;
    case outcome::unresolved:
        break;
    }
    return ledger::journal_entry::unresolved;
}

} // namespace

journal_state::journal_state(std::string host, std::uint64_t incarnation, std::size_t largest_text)
    : m_largest_text(largest_text)
{
    m_journal.host = std::move(host);
    m_journal.incarnation = incarnation;
}

void journal_state::add_intent(identity::request_id const& id, kernel::monotonic_time now)
{
    bool const is_own = id.owner == m_journal.host && id.incarnation == m_journal.incarnation;
    bool const is_refused = m_phase == phase::fenced || (m_is_down && now < m_not_before) ||
                            !is_own || id.epoch < m_journal.first_epoch ||
                            ledger::is_closed(m_journal, id.epoch);
    if (is_refused)
        m_answers.push_back({id, false});
    else
        m_pending.push_back(id);
}

void journal_state::add_outcome(identity::request_id const& id,
                                outcome result,
                                kernel::monotonic_time now)
{
    if (m_phase == phase::fenced || !ledger::find_entry(m_journal, id))
        return;
    m_journal.epochs[id.epoch][id.unique] = to_entry(result);
    if (!m_outcomes_since)
        m_outcomes_since = now;
}

kernel::monotonic_time journal_state::earliest_append() const
{
    auto earliest = m_not_before;
    if (!m_recent_appends.empty())
        earliest = std::max(earliest, m_recent_appends.back() + journal_interval);
    if (m_recent_appends.size() >= most_appends_per_second)
        earliest = std::max(earliest, m_recent_appends.front() + std::chrono::seconds(1));
    return earliest;
}

std::optional<kernel::monotonic_time> journal_state::next_due() const
{
    if (m_phase == phase::fenced)
        return std::nullopt;
    if (m_phase == phase::in_doubt)
        return m_not_before;
    if (!m_pending.empty())
        return earliest_append();
    if (m_outcomes_since)
        return std::max(earliest_append(), *m_outcomes_since + outcome_delay);
    return std::nullopt;
}

std::optional<due_write> journal_state::next_write(kernel::monotonic_time now,
                                                   std::uint32_t current_epoch)
{
    auto const due = next_due();
    if (m_phase != phase::open || !due || now < *due)
        return std::nullopt;
    remove_epochs_before(current_epoch - std::min(current_epoch, journal_retention));
    insert_pending();
    ++m_journal.append;
    auto text = ledger::to_text(m_journal);
    while (text.size() > m_largest_text && m_journal.epochs.size() > 1)
    {
        remove_epochs_before(std::next(m_journal.epochs.begin())->first);
        text = ledger::to_text(m_journal);
    }
    refuse_removed_epochs();
    if (text.size() > m_largest_text)
    {
        restore_entries();
        answer_in_flight(false);
        // Outcomes that wait must not make the same text at once again.
        m_not_before = now + outcome_delay;
        return std::nullopt;
    }
    m_appended_outcomes_since = std::exchange(m_outcomes_since, std::nullopt);
    m_recent_appends.push_back(now);
    if (m_recent_appends.size() > most_appends_per_second)
        m_recent_appends.pop_front();
    return due_write{m_version, std::move(text)};
}

bool journal_state::must_read_back(kernel::monotonic_time now) const
{
    return m_phase == phase::in_doubt && now >= m_not_before;
}

void journal_state::on_write(object_store::write_result const& result,
                             kernel::monotonic_time now,
                             double random)
{
    using object_store::status;
    switch (result.end)
    {
    case status::ok:
        accept(result.version);
        return;
    case status::conflict:
        m_has_conflict = true;
        m_phase = phase::in_doubt;
        return;
    case status::lost_answer:
    case status::cancelled:
        m_phase = phase::in_doubt;
        return;
    default:
        break;
    }
    requeue_in_flight();
    delay(now, random);
    m_is_down = result.end != status::over_rate || m_failures > most_over_rate_attempts;
    if (m_is_down)
        answer_pending();
}

void journal_state::on_read_back(object_store::read_result const& result,
                                 kernel::monotonic_time now,
                                 double random)
{
    using object_store::status;
    if (result.end != status::ok && result.end != status::missing)
    {
        // Intents of the append in doubt wait; those that are in no append can be refused.
        delay(now, random);
        m_is_down = true;
        answer_pending();
        return;
    }
    ledger::journal_document found;
    try
    {
        if (result.end == status::ok)
            found = ledger::parse_journal(result.found.value);
    }
    // Nobody can tell what a damaged journal has promised.
    catch (ledger::ledger_error const&)
    {
        fence();
        return;
    }
    bool const is_raised =
        found.closed_through_epoch && ledger::close_through(m_journal, *found.closed_through_epoch);
    if (result.end == status::ok && found.append == m_journal.append)
    {
        refuse_closed_epochs();
        accept(result.found.version);
        return;
    }
    bool const has_conflict = std::exchange(m_has_conflict, false);
    // Only a fence or a late append of its own may change the object; else it is damaged.
    if (has_conflict && !is_raised && !m_may_append_late)
    {
        fence();
        return;
    }
    m_phase = phase::open;
    m_is_down = false;
    m_version = result.found.version;
    // An append that was refused for a conflict has no late effect.
    m_may_append_late = m_may_append_late || !has_conflict;
    requeue_in_flight();
    refuse_closed_epochs();
}

void journal_state::answer_pending()
{
    for (auto& id : m_pending)
        m_answers.push_back({std::move(id), false});
    m_pending.clear();
}

void journal_state::answer_in_flight(bool is_durable)
{
    for (auto& intent : m_in_flight)
        m_answers.push_back({std::move(intent.id), is_durable});
    m_in_flight.clear();
}

void journal_state::insert_pending()
{
    for (auto& id : m_pending)
    {
        if (id.epoch < m_journal.first_epoch)
        {
            m_answers.push_back({std::move(id), false});
            continue;
        }
        auto const previous = ledger::find_entry(m_journal, id);
        m_journal.epochs[id.epoch][id.unique] = ledger::journal_entry::pending;
        m_in_flight.push_back({std::move(id), previous});
    }
    m_pending.clear();
}

// Absence of an id of a removed epoch proves nothing, so such an intent must not be confirmed.
void journal_state::refuse_removed_epochs()
{
    std::erase_if(m_in_flight,
                  [this](intent_in_flight const& intent)
                  {
                      bool const is_removed = intent.id.epoch < m_journal.first_epoch;
                      if (is_removed)
                          m_answers.push_back({intent.id, false});
                      return is_removed;
                  });
}

// Another daemon may have reported an id of a closed epoch as not run. Intents whose append took
// effect before the fence are refused as well; their entries stay pending, which proves nothing.
void journal_state::refuse_closed_epochs()
{
    std::erase_if(m_in_flight,
                  [this](intent_in_flight const& intent)
                  {
                      bool const is_refused = ledger::is_closed(m_journal, intent.id.epoch);
                      if (is_refused)
                          m_answers.push_back({intent.id, false});
                      return is_refused;
                  });
    std::erase_if(m_pending,
                  [this](identity::request_id const& id)
                  {
                      bool const is_refused = ledger::is_closed(m_journal, id.epoch);
                      if (is_refused)
                          m_answers.push_back({id, false});
                      return is_refused;
                  });
}

// Later intents of one id are restored first, so that the entry before all of them remains.
void journal_state::restore_entries()
{
    for (auto intent = m_in_flight.rbegin(); intent != m_in_flight.rend(); ++intent)
    {
        auto& entries = m_journal.epochs[intent->id.epoch];
        if (intent->previous)
            entries[intent->id.unique] = *intent->previous;
        else
            entries.erase(intent->id.unique);
    }
}

void journal_state::requeue_in_flight()
{
    restore_entries();
    std::vector<identity::request_id> queued;
    for (auto& intent : m_in_flight)
        queued.push_back(std::move(intent.id));
    m_pending.insert(m_pending.begin(), queued.begin(), queued.end());
    m_in_flight.clear();
    if (m_appended_outcomes_since)
        m_outcomes_since = std::exchange(m_appended_outcomes_since, std::nullopt);
}

void journal_state::remove_epochs_before(std::uint32_t epoch)
{
    m_journal.epochs.erase(m_journal.epochs.begin(), m_journal.epochs.lower_bound(epoch));
    m_journal.first_epoch = std::max(m_journal.first_epoch, epoch);
}

void journal_state::accept(std::uint64_t version)
{
    m_phase = phase::open;
    m_version = version;
    m_has_conflict = false;
    m_may_append_late = false;
    m_is_down = false;
    m_failures = 0;
    m_not_before = {};
    m_appended_outcomes_since.reset();
    answer_in_flight(true);
}

void journal_state::fence()
{
    m_phase = phase::fenced;
    m_outcomes_since.reset();
    answer_in_flight(false);
    answer_pending();
}

void journal_state::delay(kernel::monotonic_time now, double random)
{
    m_not_before = now + backoff_delay(++m_failures, random);
}

std::vector<intent_answer> journal_state::take_answers()
{
    return std::exchange(m_answers, {});
}

bool journal_state::is_fenced() const
{
    return m_phase == phase::fenced;
}

std::optional<std::uint32_t> journal_state::closed_through_epoch() const
{
    return m_journal.closed_through_epoch;
}

bool journal_state::is_written() const
{
    return m_phase == phase::fenced ||
           (m_phase == phase::open && m_pending.empty() && !m_outcomes_since);
}

} // namespace pistachiohub::store
