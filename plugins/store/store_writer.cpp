#include "kernel/clock.hpp"
#include "kernel/log.hpp"
#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "libraries/events/control_event.hpp"
#include "libraries/events/forward_event.hpp"
#include "libraries/events/store_command.hpp"
#include "libraries/object_store/object_store.hpp"
#include "plugins/store/journal_fence.hpp"
#include "plugins/store/journal_fencer.hpp"
#include "plugins/store/journal_state.hpp"
#include "plugins/store/settlement_flush.hpp"
#include "plugins/store/wake_signal.hpp"

#include <algorithm>
#include <deque>
#include <random>
#include <utility>

namespace pistachiohub::store
{

namespace
{

using kernel::log_level;

constexpr std::string_view area = "store";
constexpr std::string_view settlement_kind = "settlement";
constexpr std::string_view journal_kind = "journal";
constexpr auto epoch_length = std::chrono::minutes(1);
constexpr auto idle_wait = std::chrono::milliseconds(500);
// A full mailbox of the forward duty is tried again after this time.
constexpr auto delivery_retry = std::chrono::milliseconds(5);
// An exit must not wait for the store for ever; counts that are lost by it are logged.
constexpr auto longest_flush = std::chrono::seconds(30);
// The journal waits for its answer on this thread, so a slow store must not hold it for long.
constexpr http::client_limits store_limits{std::chrono::milliseconds(500),
                                           std::chrono::milliseconds(2000)};

struct flush_waiter
{
    std::function<void()> flushed;
    kernel::monotonic_time gives_up_at;
};

/// The thread "store writer": I/O for the pure rules of settlement and journal.
class store_writer : public kernel::duty
{
public:
    explicit store_writer(kernel::daemon_context& context)
        : m_context(context)
        , m_commands(context.shared<kernel::mailbox<events::store_command>>())
        , m_forward(context.shared<kernel::mailbox<events::forward_event>>())
        , m_control(context.shared<kernel::mailbox<events::control_event>>())
        , m_client(context.own_settings().store, store_limits)
        , m_ledger(context.own_settings().name, context.incarnation())
        , m_settlement(m_ledger)
        , m_journal(context.own_settings().name, context.incarnation())
        , m_fencer(m_client)
        , m_object_name(context.own_settings().name + '.' + std::to_string(context.incarnation()))
    {
    }

    void run() override
    {
        m_commands.set_wake_up(
            [this]()
            {
                m_signal.wake();
            });
        while (m_signal.wait_until(next_wake_up()))
            work();
        m_commands.set_wake_up({});
    }

    void request_stop() override
    {
        m_signal.stop();
        m_client.cancel();
    }

private:
    [[nodiscard]] std::uint32_t current_epoch() const
    {
        auto const running = kernel::monotonic_now() - m_started_at;
        auto const epoch = static_cast<std::uint32_t>(running / epoch_length);
        // The control duty makes ids of the epoch after a fenced one.
        auto const bound = m_journal.closed_through_epoch();
        return bound ? std::max(epoch, *bound + 1) : epoch;
    }

    [[nodiscard]] double random()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    [[nodiscard]] kernel::monotonic_time next_wake_up() const
    {
        auto const now = kernel::monotonic_now();
        auto end = now + idle_wait;
        if (!m_fences.empty())
            end = now;
        if (!m_undelivered.empty() || m_untold_epoch)
            end = std::min<kernel::monotonic_time>(end, now + delivery_retry);
        for (auto const due : {m_settlement.next_due(), m_journal.next_due()})
            end = due ? std::min(end, *due) : end;
        return end;
    }

    void work()
    {
        m_commands.drain(
            [this](events::store_command&& command)
            {
                std::visit(
                    [this](auto& content)
                    {
                        handle(content);
                    },
                    command);
            });
        step_journal();
        step_settlement();
        step_fence();
        answer_intents();
        finish_flushes();
        deliver();
    }

    void handle(events::settle_request const& settled)
    {
        m_ledger.count(settled, current_epoch() + 1);
        if (settled.is_journaled)
            m_journal.add_outcome(settled.id, settled.result, kernel::monotonic_now());
    }

    void handle(events::append_intent const& intent)
    {
        m_journal.add_intent(intent.id, kernel::monotonic_now());
    }

    void handle(events::fence_owner const& wanted)
    {
        bool const is_own = wanted.id.owner == m_context.own_settings().name &&
                            wanted.id.incarnation == m_context.incarnation();
        auto const latest = latest_plausible_epoch(wanted.id.incarnation, kernel::wall_clock_ms());
        // Closing the own journal would refuse this daemon's at-most-once work.
        if (is_own || wanted.id.epoch > latest)
            report_fence(unknown_result(wanted.id));
        else
            m_fences.push_back(wanted.id);
    }

    void handle(events::flush_settlement& wanted)
    {
        m_flushes.push_back({std::move(wanted.flushed), kernel::monotonic_now() + longest_flush});
        m_settlement.hurry();
    }

    template<class State>
    void step(State& state, std::string_view kind, std::optional<due_write> write)
    {
        if (state.must_read_back(kernel::monotonic_now()))
        {
            auto const result = m_client.read(kind, m_object_name);
            count_call(kind, "read", result.end);
            state.on_read_back(result, kernel::monotonic_now(), random());
        }
        if (!write)
            return;
        auto const result =
            m_client.write(kind, m_object_name, write->expected_version, write->text);
        count_call(kind, "write", result.end);
        state.on_write(result, kernel::monotonic_now(), random());
    }

    void step_journal()
    {
        bool const was_fenced = m_journal.is_fenced();
        auto const old_bound = m_journal.closed_through_epoch();
        step(m_journal,
             journal_kind,
             m_journal.next_write(kernel::monotonic_now(), current_epoch()));
        if (m_journal.is_fenced() && !was_fenced)
            kernel::log_event(log_level::error, area, "journal_damaged");
        auto const bound = m_journal.closed_through_epoch();
        if (bound == old_bound)
            return;
        kernel::log_event(log_level::warning, area, "journal_fenced", {{"epoch", *bound}});
        m_untold_epoch = bound;
    }

    void step_settlement()
    {
        step(m_settlement, settlement_kind, m_settlement.next_write(kernel::monotonic_now()));
    }

    // One fence for each round, so that appends of the own journal are not held up by many.
    void step_fence()
    {
        if (m_fences.empty())
            return;
        auto const result = m_fencer.fence(m_fences.front());
        m_fences.pop_front();
        report_fence(result);
        if (result.cause != reason::owner_unreachable)
            return;
        // The store is down for the others as well; each would wait for the timeout in turn.
        for (auto const& id : std::exchange(m_fences, {}))
            report_fence(unknown_result(id));
    }

    void report_fence(events::fence_result const& result)
    {
        kernel::log_event(log_level::info,
                          area,
                          "owner_fenced",
                          {{"id", identity::to_string(result.id)},
                           {"outcome", to_string(result.result)},
                           {"reason", to_string(result.cause)}});
        m_undelivered.emplace_back(result);
    }

    void answer_intents()
    {
        for (auto& answer : m_journal.take_answers())
        {
            if (answer.is_durable)
                m_undelivered.emplace_back(events::intent_durable{std::move(answer.id)});
            else
                m_undelivered.emplace_back(events::intent_refused{std::move(answer.id)});
        }
    }

    void finish_flushes()
    {
        auto const now = kernel::monotonic_now();
        bool const is_written = m_settlement.is_written() && m_journal.is_written();
        while (!m_flushes.empty() && (is_written || now >= m_flushes.front().gives_up_at))
        {
            if (!is_written)
                kernel::log_event(log_level::error, area, "settlement_not_flushed");
            m_flushes.front().flushed();
            m_flushes.pop_front();
        }
    }

    void deliver()
    {
        while (!m_undelivered.empty() && m_forward.try_push(std::move(m_undelivered.front())))
            m_undelivered.pop_front();
        if (m_untold_epoch && m_control.try_push(events::epoch_fenced{*m_untold_epoch}))
            m_untold_epoch.reset();
    }

    void count_call(std::string_view kind, std::string_view call, object_store::status end)
    {
        auto const name =
            "pistachiohub_store_" + std::string(kind) + '_' + std::string(call) + "s_total";
        m_context.own_metrics().find_counter(name, {"result", to_string(end)}).increment();
    }

    kernel::daemon_context& m_context;
    kernel::mailbox<events::store_command>& m_commands;
    kernel::mailbox<events::forward_event>& m_forward;
    kernel::mailbox<events::control_event>& m_control;
    object_store::client m_client;
    settlement_ledger m_ledger;
    settlement_flush m_settlement;
    journal_state m_journal;
    journal_fencer m_fencer;
    std::string m_object_name;
    kernel::monotonic_time m_started_at = kernel::monotonic_now();
    std::deque<identity::request_id> m_fences;
    std::deque<events::forward_event> m_undelivered;
    /// The newest fenced epoch, until the control duty is told.
    std::optional<std::uint32_t> m_untold_epoch;
    std::deque<flush_waiter> m_flushes;
    std::mt19937_64 m_random{std::random_device{}()};
    wake_signal m_signal;
};

std::unique_ptr<kernel::duty> create_store_writer(kernel::daemon_context& context)
{
    return std::make_unique<store_writer>(context);
}

kernel::registration const store_writer_registration({"store writer", 62, create_store_writer});

} // namespace

} // namespace pistachiohub::store
