#include "plugins/discovery/relay_followers.hpp"

namespace pistachiohub::discovery
{

void relay_followers::note_question(fleet::host_incarnation const& asker, kernel::boot_time now)
{
    std::lock_guard const lock(m_mutex);
    m_asked[asker.name] = {asker.incarnation, now};
}

std::vector<fleet::host_incarnation> relay_followers::living(kernel::boot_time now)
{
    std::lock_guard const lock(m_mutex);
    std::erase_if(m_asked,
                  [now](auto const& entry)
                  {
                      return now - entry.second.second >= follower_silence;
                  });
    std::vector<fleet::host_incarnation> living;
    for (auto const& [name, asked] : m_asked)
        living.push_back({name, asked.first});
    return living;
}

void relay_followers::note_answer(kernel::boot_time now)
{
    std::lock_guard const lock(m_mutex);
    m_answered_at = now;
}

bool relay_followers::is_known_to_relay(kernel::boot_time now) const
{
    std::lock_guard const lock(m_mutex);
    return m_answered_at && now - *m_answered_at < follower_silence;
}

std::string asked_kind(std::string_view kind, fleet::host_incarnation const& asker)
{
    return std::string(kind) + '/' + asker.name + '/' + std::to_string(asker.incarnation);
}

} // namespace pistachiohub::discovery
