#include "plugins/forward/coordinator.hpp"

#include "plugins/forward/admission.hpp"
#include "plugins/forward/attempts.hpp"
#include "plugins/forward/crash_suspicion.hpp"
#include "plugins/forward/placement.hpp"
#include "plugins/forward/relay_sender.hpp"
#include "plugins/forward/step.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace pistachiohub::forward
{

namespace
{

/// Passes each kind of event to its handler.
struct event_visitor
{
    step& current;

    void operator()(events::caller_request& event) const
    {
        receive_request(current, std::move(event));
    }

    void operator()(events::attempt_result& event) const
    {
        auto const found = current.state.dispatches.find(event.dispatch);
        if (found == current.state.dispatches.end())
            return;
        auto const target = found->second;
        if (target.relayed != nullptr)
            apply_relay_end(current, *target.relayed, event.end, std::move(event.answer));
        else
            apply_attempt_end(current,
                              *target.own,
                              target.own->attempts[target.attempt - 1],
                              event.end,
                              std::move(event.answer));
    }

    void operator()(events::cancel_result& event) const
    {
        auto const found = current.state.dispatches.find(event.dispatch);
        if (found == current.state.dispatches.end())
            return;
        auto const target = found->second;
        if (target.relayed != nullptr)
            apply_relay_cancel_result(current, *target.relayed, event.is_cancelled);
        else
            apply_cancel_result(
                current, *target.own, target.own->attempts[target.attempt - 1], event.is_cancelled);
    }

    void operator()(events::peer_request_message& event) const
    {
        auto const& sender = event.sender;
        auto const incarnation = event.sender_incarnation;
        std::visit(
            [&](auto& content)
            {
                receive(content, sender, incarnation);
            },
            event.content);
    }

    void operator()(events::peer_unsent& event) const
    {
        if (auto const* const unsent = std::get_if<messages::submit>(&event.content))
            apply_submit_unsent(current, *unsent);
        if (auto const* const unsent = std::get_if<messages::relay>(&event.content))
            apply_relay_unsent(current, *unsent);
    }

    void operator()(events::intent_durable& event) const
    {
        apply_intent_durable(current, event.id);
    }

    void operator()(events::intent_refused& event) const
    {
        apply_intent_refused(current, event.id);
    }

    void operator()(events::fence_result& event) const
    {
        apply_fence(current, event);
    }

    void operator()(events::quarantine_release& event) const
    {
        release_fingerprint(current, event.fingerprint);
    }

private:
    void receive(messages::submit& content, std::string_view sender, std::uint64_t number) const
    {
        receive_submit(current, std::move(content), sender, number);
    }

    void
    receive(messages::submit_reply& content, std::string_view sender, std::uint64_t number) const
    {
        apply_submit_reply(current, content, sender, number);
    }

    void receive(messages::relay& content, std::string_view sender, std::uint64_t number) const
    {
        receive_relay(current, std::move(content), sender, number);
    }

    void
    receive(messages::relay_reply& content, std::string_view sender, std::uint64_t number) const
    {
        apply_relay_reply(current, std::move(content), sender, number);
    }

    void
    receive(messages::relay_cancel& content, std::string_view sender, std::uint64_t number) const
    {
        receive_relay_cancel(current, content, sender, number);
    }

    void receive(messages::quarantine_notice& content, std::string_view, std::uint64_t) const
    {
        apply_quarantine_notice(current, content);
    }
};

void apply_timers(step& current)
{
    auto& requests = current.state.requests;
    requests.newest_epoch = std::max(requests.newest_epoch, current.world.own_epoch);
    for (auto* due = pop_due(requests, current.now); due != nullptr;
         due = pop_due(requests, current.now))
        apply_timer(current, *due);
    apply_relay_timers(current);
}

void report_usage(step& current)
{
    auto const is_first = current.state.last_usage_report == kernel::monotonic_time{};
    if (!is_first && current.now < current.state.last_usage_report + usage_report_interval)
        return;
    current.state.last_usage_report = current.now;
    events::usage_report report;
    report.requests_in_flight = requests_in_flight(current.state);
    // A daemon that is shutting down offers no slots to other daemons.
    if (current.state.drain.phase == drain_phase::serving)
    {
        auto const usage = list_usage(current.state.servers, current.world);
        auto const spare = steer::spare_foreign_slots(current.world, usage, current.now);
        auto const& services = current.world.configuration->services;
        for (std::size_t index = 0; index < std::min(spare.size(), services.size()); ++index)
            report.credits.push_back({services[index].name, spare[index]});
    }
    emit(current, events::control_event{std::move(report)});
}

void clean_up(step& current)
{
    if (current.now < current.state.last_cleanup + cleanup_interval)
        return;
    current.state.last_cleanup = current.now;
    drop_old_answers(current.state.requests, current.now);
    for (auto const dispatch : drop_old_requests(current.state.requests))
        current.state.dispatches.erase(dispatch);
    drop_expired_relays(current);
    drop_removed_servers(current.state.servers, current.world);
    retry::expire(current.state.quarantine, current.now);
}

} // namespace

std::uint32_t requests_in_flight(coordinator const& state)
{
    return static_cast<std::uint32_t>(state.requests.open_requests + state.relays.open_runs);
}

std::vector<action> handle(coordinator& state,
                           events::forward_event event,
                           view::world_view const& world,
                           kernel::monotonic_time now,
                           std::uint64_t random)
{
    step current{state, world, now, random, {}};
    // Timers are handled first. Otherwise an event that was queued while the process was paused
    // would be applied to a request whose deadline has passed in the meantime.
    apply_timers(current);
    std::visit(event_visitor{current}, event);
    start_waiting_requests(current);
    return std::move(current.actions);
}

std::vector<action> tick(coordinator& state,
                         view::world_view const& world,
                         kernel::monotonic_time now,
                         std::uint64_t random)
{
    step current{state, world, now, random, {}};
    apply_timers(current);
    check_pending_forwards(current);
    advance_drain(current);
    start_waiting_requests(current);
    clean_up(current);
    report_usage(current);
    return std::move(current.actions);
}

} // namespace pistachiohub::forward
