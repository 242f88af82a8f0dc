#include "plugins/forward/waiting_queue.hpp"

#include <cassert>

namespace pistachiohub::forward
{

namespace
{

waiting_key make_key(request const& subject)
{
    return {subject.kind == configuration::service_kind::at_most_once ? 0 : 1,
            subject.has_restricted_placement ? 0 : 1,
            subject.service};
}

} // namespace

void push(waiting_queue& queue, request& subject)
{
    auto& group = queue.groups[make_key(subject)];
    [[maybe_unused]] auto const is_new =
        group.emplace(std::pair(subject.deadline, subject.sequence), &subject).second;
    assert(is_new);
    subject.phase = request_phase::queued;
    ++queue.size;
}

void remove(waiting_queue& queue, request& subject)
{
    assert(subject.phase == request_phase::queued);
    auto const group = queue.groups.find(make_key(subject));
    assert(group != queue.groups.end());
    group->second.erase({subject.deadline, subject.sequence});
    if (group->second.empty())
        queue.groups.erase(group);
    subject.phase = request_phase::running;
    --queue.size;
}

request* find_request_to_refuse(waiting_queue const& queue)
{
    if (queue.size <= max_queued_requests)
        return nullptr;
    auto const last_kind = std::get<0>(queue.groups.rbegin()->first);
    request* excess = nullptr;
    for (auto group = queue.groups.rbegin();
         group != queue.groups.rend() && std::get<0>(group->first) == last_kind;
         ++group)
    {
        auto* const candidate = group->second.rbegin()->second;
        if (excess == nullptr || candidate->deadline > excess->deadline)
            excess = candidate;
    }
    return excess;
}

} // namespace pistachiohub::forward
