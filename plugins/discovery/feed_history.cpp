#include "plugins/discovery/feed_history.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace pistachiohub::discovery
{

void record(kind_history& history, bool is_complete, object_store::list_result const& read)
{
    bool const is_restored = object_store::is_other_generation(history.generation, read.generation);
    if (read.generation != 0)
        history.generation = read.generation;
    history.revision = read.revision;
    if (is_complete || is_restored)
    {
        history.batches.clear();
        history.complete_since = read.revision;
        return;
    }
    if (read.objects.empty())
        return;
    history.batches.push_back({read.revision, read.objects});
    if (history.batches.size() <= most_batches)
        return;
    history.complete_since = history.batches.front().revision;
    history.batches.pop_front();
}

std::string_view to_string(history_state value)
{
    // In the order of the enumeration.
    constexpr std::array<std::string_view, 4> names{"changes", "current", "stale", "gone"};
    return names.at(static_cast<std::size_t>(value));
}

history_state state_since(kind_history const& history,
                          object_store::position const& since,
                          kernel::boot_time oldest)
{
    if (!history.is_direct || history.confirmed_at < oldest)
        return history_state::is_stale;
    // Daemons learn of a restored store at different times: the one that asks may be ahead.
    if (object_store::is_other_generation(since.generation, history.generation))
        return since.generation > history.generation ? history_state::is_stale
                                                     : history_state::is_gone;
    if (since.revision < history.complete_since)
        return history_state::is_gone;
    bool const has_changes =
        !history.batches.empty() && history.batches.back().revision > since.revision;
    return has_changes ? history_state::has_changes : history_state::is_current;
}

object_store::list_result changes_since(kind_history const& history, std::uint64_t revision)
{
    object_store::list_result changes;
    changes.end = object_store::status::ok;
    changes.revision = std::max(history.revision, revision);
    for (auto const& batch : history.batches)
    {
        // A batch is told whole: a part of it could end with a removal that was undone within it.
        if (batch.revision > revision)
            changes.objects.insert(
                changes.objects.end(), batch.objects.begin(), batch.objects.end());
    }
    return changes;
}

void feed_histories::update(std::string_view kind,
                            bool is_direct,
                            bool is_complete,
                            object_store::list_result const& read,
                            kernel::boot_time confirmed_at)
{
    std::lock_guard const lock(m_mutex);
    auto found = m_histories.find(kind);
    if (found == m_histories.end())
        found = m_histories.emplace(std::string(kind), kind_history{}).first;
    found->second.is_direct = is_direct;
    found->second.confirmed_at = confirmed_at;
    record(found->second, is_complete, read);
    if (m_wake_up)
        m_wake_up();
}

history_answer feed_histories::answer(std::string_view kind,
                                      object_store::position const& since,
                                      kernel::boot_time oldest) const
{
    std::lock_guard const lock(m_mutex);
    auto const found = m_histories.find(kind);
    if (found == m_histories.end())
        return {};
    return {state_since(found->second, since, oldest),
            changes_since(found->second, since.revision),
            found->second.confirmed_at};
}

void feed_histories::set_wake_up(std::function<void()> wake_up)
{
    std::lock_guard const lock(m_mutex);
    m_wake_up = std::move(wake_up);
}

} // namespace pistachiohub::discovery
