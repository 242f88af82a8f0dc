#include "plugins/forward/request_table.hpp"

#include <algorithm>
#include <cassert>

namespace pistachiohub::forward
{

namespace
{

bool has_pending_attempt(request const& subject)
{
    return std::any_of(subject.attempts.begin(),
                       subject.attempts.end(),
                       [](attempt const& item)
                       {
                           return is_pending(item.run.state);
                       });
}

kernel::monotonic_time next_check(request const& subject)
{
    auto next = kernel::monotonic_time::max();
    for (auto const& item : subject.attempts)
    {
        if (is_pending(item.run.state))
            next = std::min(next, item.run.check_at);
    }
    if (subject.phase == request_phase::closed)
        return next;
    next = std::min(next, subject.deadline);
    for (auto const& item : subject.waiters)
        next = std::min(next, item.deadline);
    return next;
}

void clear_timer(request_table& table, request& subject)
{
    if (subject.timer == kernel::monotonic_time::max())
        return;
    table.timers.erase({subject.timer, subject.sequence});
    subject.timer = kernel::monotonic_time::max();
}

void drop(request_table& table, request& subject, std::vector<std::uint64_t>& dispatches)
{
    for (auto const& item : subject.attempts)
    {
        if (item.run.dispatch != 0)
            dispatches.push_back(item.run.dispatch);
    }
    clear_timer(table, subject);
    table.retained_bytes -= subject.answer.size();
    if (subject.cause == reason::future_epoch)
        --table.future_requests;
    auto const id = subject.id;
    table.requests.erase(id);
}

} // namespace

bool has_unproven_attempt(request const& subject)
{
    return std::any_of(subject.attempts.begin(),
                       subject.attempts.end(),
                       [](attempt const& item)
                       {
                           return item.run.state != run_state::not_run;
                       });
}

bool may_start_attempt(request const& subject)
{
    if (subject.phase == request_phase::closed)
        return false;
    if (subject.kind == configuration::service_kind::at_most_once)
        return !has_unproven_attempt(subject);
    return std::none_of(subject.attempts.begin(),
                        subject.attempts.end(),
                        [](attempt const& item)
                        {
                            return item.run.state == run_state::running ||
                                   item.run.state == run_state::overdue;
                        });
}

request* find(request_table& table, identity::request_id const& id)
{
    auto const found = table.requests.find(id);
    return found == table.requests.end() ? nullptr : found->second.get();
}

request& insert(request_table& table,
                identity::request_id const& id,
                std::string_view service,
                std::string body)
{
    auto created = std::make_unique<request>();
    auto& subject = *created;
    subject.id = id;
    subject.sequence = table.next_sequence++;
    subject.service = service;
    subject.body_size = body.size();
    subject.body = std::move(body);
    [[maybe_unused]] auto const is_new = table.requests.emplace(id, std::move(created)).second;
    assert(is_new);
    table.by_epoch[id.epoch].push_back(&subject);
    table.retained_bytes += subject.body_size;
    ++table.open_requests;
    return subject;
}

void update_timer(request_table& table, request& subject)
{
    auto const next = next_check(subject);
    if (next == subject.timer)
        return;
    clear_timer(table, subject);
    if (next == kernel::monotonic_time::max())
        return;
    subject.timer = next;
    table.timers.emplace(std::pair(next, subject.sequence), &subject);
}

request* pop_due(request_table& table, kernel::monotonic_time now)
{
    if (table.timers.empty())
        return nullptr;
    auto const first = table.timers.begin();
    if (first->first.first > now)
        return nullptr;
    auto* const subject = first->second;
    clear_timer(table, *subject);
    return subject;
}

void replace_body_with_answer(request_table& table,
                              request& subject,
                              std::string answer,
                              kernel::monotonic_time now)
{
    table.retained_bytes -= subject.body.size() + subject.answer.size();
    subject.body = std::string();
    subject.answer = std::move(answer);
    table.retained_bytes += subject.answer.size();
    if (subject.kind == configuration::service_kind::idempotent && !subject.answer.empty())
        table.idempotent_answers.emplace_back(now, subject.id);
}

void drop_old_answers(request_table& table, kernel::monotonic_time now)
{
    auto& answers = table.idempotent_answers;
    while (!answers.empty() && answers.front().first + idempotent_answer_retention <= now)
    {
        auto* const subject = find(table, answers.front().second);
        if (subject != nullptr)
        {
            table.retained_bytes -= subject->answer.size();
            subject->answer = std::string();
            subject->is_answer_dropped = true;
        }
        answers.pop_front();
    }
}

std::vector<std::uint64_t> drop_old_requests(request_table& table)
{
    std::vector<std::uint64_t> dispatches;
    auto epoch = table.by_epoch.begin();
    while (epoch != table.by_epoch.end() &&
           std::uint64_t{epoch->first} + retention_epochs < table.newest_epoch)
    {
        std::vector<request*> remaining;
        for (auto* const subject : epoch->second)
        {
            auto const is_finished =
                subject->phase == request_phase::closed && !has_pending_attempt(*subject);
            if (is_finished)
                drop(table, *subject, dispatches);
            else
                remaining.push_back(subject);
        }
        epoch->second = std::move(remaining);
        if (epoch->second.empty())
            epoch = table.by_epoch.erase(epoch);
        else
            ++epoch;
    }
    return dispatches;
}

} // namespace pistachiohub::forward
