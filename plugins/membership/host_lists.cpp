#include "plugins/membership/host_lists.hpp"

#include <algorithm>

namespace pistachiohub::membership
{

list_news accept_list(held_host_lists& held, events::host_list_received const& list)
{
    auto const known = held.lists.find(list.failure_domain);
    if (known == held.lists.end())
    {
        held.lists.emplace(list.failure_domain, list);
        return list_news::changed;
    }
    if (list.revision < known->second.revision)
        return list_news::older;
    bool const is_same = known->second.entry_hosts == list.entry_hosts &&
                         known->second.backend_servers == list.backend_servers;
    known->second = list;
    return is_same ? list_news::confirmed : list_news::changed;
}

void apply_poll(held_host_lists& held, events::host_list_polled const& poll)
{
    if (!poll.is_successful)
        return;
    if (!poll.is_restored)
    {
        held.revision = std::max(held.revision, poll.revision);
        return;
    }
    // Revisions from before the restoration would make every list of the store look old.
    for (auto& [failure_domain, list] : held.lists)
        list.revision = 0;
    held.revision = 0;
}

void apply_answer(held_host_lists& held,
                  std::string const& sender,
                  messages::host_list const& message)
{
    if (message.position == 0)
        return;
    auto& progress = held.answers[sender];
    if (message.position == 1)
        progress = {message.reached_revision, 1};
    bool const is_next = progress.reached_revision == message.reached_revision &&
                         progress.next_position == message.position;
    // No message has position 0, so nothing continues an answer with a gap.
    progress.next_position = is_next ? message.position + 1 : 0;
    if (is_next && message.position == message.count)
        held.revision = std::max(held.revision, message.reached_revision);
}

bool should_request_lists(held_host_lists& held,
                          std::string const& peer,
                          std::uint64_t revision,
                          kernel::monotonic_time now)
{
    if (revision <= held.revision)
        return false;
    if (held.last_request && now - *held.last_request < any_list_request_interval)
        return false;
    auto const [entry, is_new] = held.request_times.try_emplace(peer, now);
    if (!is_new && now - entry->second < list_request_interval)
        return false;
    entry->second = now;
    held.last_request = now;
    return true;
}

std::vector<messages::host_list> make_answer(held_host_lists const& held,
                                             std::string_view own_failure_domain,
                                             std::uint64_t revision)
{
    std::vector<messages::host_list> answer;
    if (revision >= held.revision)
        return answer;
    for (auto const& [failure_domain, list] : held.lists)
    {
        if (list.revision <= revision)
            continue;
        auto const position = failure_domain == own_failure_domain ? answer.begin() : answer.end();
        answer.insert(position, make_list_message(list));
    }
    if (answer.empty())
        answer.emplace_back();
    std::uint32_t position = 0;
    for (auto& message : answer)
    {
        message.reached_revision = held.revision;
        message.position = ++position;
        message.count = static_cast<std::uint32_t>(answer.size());
    }
    return answer;
}

messages::host_list make_list_message(events::host_list_received const& list)
{
    messages::host_list message;
    message.revision = list.revision;
    message.failure_domain = list.failure_domain;
    message.entry_hosts = list.entry_hosts;
    message.backend_servers = list.backend_servers;
    return message;
}

} // namespace pistachiohub::membership
