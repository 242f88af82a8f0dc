#include "kernel/clock.hpp"
#include "kernel/event_loop.hpp"
#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "plugins/forward/action_sender.hpp"
#include "plugins/forward/coordinator.hpp"

#include <deque>
#include <random>
#include <utility>

namespace pistachiohub::forward
{

namespace
{

constexpr int forward_start_order = 40;
constexpr kernel::duration tick_interval = std::chrono::milliseconds(10);

using event_mailbox = kernel::mailbox<events::forward_event>;
using view_snapshot = kernel::snapshot<view::world_view>;

/// Builds the reply to a request that arrives before the first world view. Lookups need a view, so
/// no caller can hold an id of this incarnation yet. A re-sent id belongs to another incarnation
/// and may have run there, so its outcome is `unresolved`.
events::front_reply not_ready_reply(events::caller_request const& subject)
{
    auto const is_only_copy = !subject.id.has_value() || subject.transmission == 1;
    events::front_reply reply;
    reply.exchange = subject.exchange;
    reply.id = subject.id.value_or(identity::request_id{});
    reply.result = is_only_copy ? outcome::not_run : outcome::unresolved;
    reply.cause = reason::not_ready;
    reply.service = subject.service;
    reply.has_lookup = true;
    return reply;
}

/// Runs the coordinator on the duty's thread: passes events and ticks to it and executes the
/// actions that it returns.
class forward_duty final : public kernel::duty
{
public:
    explicit forward_duty(kernel::daemon_context& context)
        : m_context(context)
        , m_events(context.shared<event_mailbox>())
        , m_view(context.shared<view_snapshot>())
        , m_sender(context)
        , m_random(std::random_device{}())
    {
    }

    void run() override
    {
        m_loop.consume(m_events,
                       [this](events::forward_event event)
                       {
                           handle_event(std::move(event));
                       });
        m_loop.every(tick_interval,
                     [this]()
                     {
                         handle_tick();
                     });
        m_loop.run();
        m_events.set_wake_up({});
    }

    void request_stop() override
    {
        m_loop.stop();
    }

private:
    void handle_event(events::forward_event event)
    {
        auto const* const world = m_view.get();
        if (world == nullptr)
        {
            refuse_not_ready(event);
            return;
        }
        execute(
            *world,
            handle(m_coordinator, std::move(event), *world, kernel::monotonic_now(), m_random()));
    }

    void refuse_not_ready(events::forward_event const& event)
    {
        auto const* const subject = std::get_if<events::caller_request>(&event);
        if (subject == nullptr)
            return;
        std::vector<action> actions;
        actions.emplace_back(counter_increment{metric::refusals, to_string(reason::not_ready)});
        actions.emplace_back(not_ready_reply(*subject));
        static_cast<void>(m_sender.send(std::move(actions)));
    }

    void handle_tick()
    {
        m_sender.send_backlog();
        auto const* const world = m_view.get();
        if (world == nullptr)
        {
            finish_drain_without_view();
            return;
        }
        execute(*world, tick(m_coordinator, *world, kernel::monotonic_now(), m_random()));
        publish_gauges();
    }

    /// Finishes a drain that starts before the first view. The daemon has accepted no request yet,
    /// so there is no settlement to flush.
    void finish_drain_without_view()
    {
        if (m_context.is_draining())
            m_context.finish_drain();
    }

    /// Executes actions. Each failure is passed to the coordinator as an event, and the actions
    /// that this causes are executed as well, until none fails.
    void execute(view::world_view const& world, std::vector<action> actions)
    {
        std::deque<events::forward_event> failures;
        while (true)
        {
            for (auto& failure : m_sender.send(std::move(actions)))
                failures.push_back(std::move(failure));
            if (failures.empty())
                return;
            auto failure = std::move(failures.front());
            failures.pop_front();
            actions = handle(
                m_coordinator, std::move(failure), world, kernel::monotonic_now(), m_random());
        }
    }

    void publish_gauges()
    {
        auto& metrics = m_context.own_metrics();
        metrics.set_gauge("pistachiohub_requests_in_flight", requests_in_flight(m_coordinator));
        metrics.set_gauge("pistachiohub_queue_length",
                          static_cast<double>(m_coordinator.queue.size));
    }

    kernel::daemon_context& m_context;
    event_mailbox& m_events;
    kernel::snapshot_reader<view::world_view> m_view;
    action_sender m_sender;
    coordinator m_coordinator;
    std::mt19937_64 m_random;
    kernel::event_loop m_loop;
};

std::unique_ptr<kernel::duty> create_forward_duty(kernel::daemon_context& context)
{
    return std::make_unique<forward_duty>(context);
}

kernel::registration const forward_registration{
    {"forward", forward_start_order, create_forward_duty}};

} // namespace

} // namespace pistachiohub::forward
