#include "plugins/forward/local_run.hpp"

#include "plugins/forward/server_slots.hpp"
#include "plugins/forward/step.hpp"

namespace pistachiohub::forward
{

namespace
{

/// Part of the difference by which one run moves the average, as a divisor.
constexpr int run_time_weight = 8;

void ask_cancel(step& current,
                local_run& run,
                identity::request_id const& id,
                std::uint32_t attempt)
{
    if (run.cancel != cancel_state::none)
        return;
    run.cancel = cancel_state::asked;
    events::cancel_attempt const command{
        run.dispatch, run.backend_server, run.address, run.port, id, attempt};
    emit(current, events::backend_command{command});
}

void end(step& current, local_run& run, run_state state)
{
    run.state = state;
    run.check_at = kernel::monotonic_time::max();
    release_slot(current, run);
}

run_change
apply_break(step& current, local_run& run, identity::request_id const& id, std::uint32_t attempt)
{
    auto const is_live = run.state == run_state::running || run.state == run_state::overdue;
    if (!is_live)
        return run_change::none;
    release_slot(current, run);
    if (run.cancel == cancel_state::denied)
    {
        end(current, run, run_state::unknown);
        return run_change::broken_unproven;
    }
    run.state = run_state::broken;
    run.check_at = current.now + follow_up_time;
    ask_cancel(current, run, id, attempt);
    return run_change::broken;
}

} // namespace

bool is_pending(run_state state)
{
    return state == run_state::running || state == run_state::broken || state == run_state::overdue;
}

run_change apply(step& current,
                 local_run& run,
                 identity::request_id const& id,
                 std::uint32_t attempt,
                 events::attempt_end end_kind)
{
    if (run.state == run_state::not_run && end_kind == events::attempt_end::answered)
        add_log_entry(current,
                      kernel::log_level::error,
                      "answer_after_proof_of_not_run",
                      {{"id", to_string(id)}, {"backend_server", run.backend_server}});
    if (run.state == run_state::answered || run.state == run_state::not_run)
        return run_change::none;
    switch (end_kind)
    {
    case events::attempt_end::answered:
        note_answer(current, run.backend_server);
        end(current, run, run_state::answered);
        return run_change::answered;
    case events::attempt_end::refused:
        note_refusal(current, run.backend_server);
        end(current, run, run_state::not_run);
        return run_change::refused;
    case events::attempt_end::never_sent:
        note_refusal(current, run.backend_server);
        end(current, run, run_state::not_run);
        return run_change::never_sent;
    case events::attempt_end::broken:
        return apply_break(current, run, id, attempt);
    case events::attempt_end::deadline:
        if (run.state != run_state::running)
            return run_change::none;
        overrun(current, run, id, attempt);
        return run_change::overdue;
    }
    return run_change::none;
}

run_change apply(step& current, local_run& run, bool is_cancelled)
{
    if (run.state == run_state::answered || run.state == run_state::not_run)
        return run_change::none;
    if (is_cancelled)
    {
        end(current, run, run_state::not_run);
        return run_change::cancelled;
    }
    run.cancel = cancel_state::denied;
    if (run.state != run_state::broken)
        return run_change::none;
    end(current, run, run_state::unknown);
    return run_change::broken_unproven;
}

void record_run_time(step& current, std::string const& service, local_run const& run)
{
    auto& average = current.state.services[service].run_time;
    auto const measured = current.now - run.started_at;
    average +=
        average == kernel::duration::zero() ? measured : (measured - average) / run_time_weight;
}

void overrun(step& current, local_run& run, identity::request_id const& id, std::uint32_t attempt)
{
    if (!is_pending(run.state))
        return;
    if (run.state == run_state::running)
        run.state = run_state::overdue;
    run.check_at = current.now + follow_up_time;
    ask_cancel(current, run, id, attempt);
}

void give_up(step& current, local_run& run)
{
    end(current, run, run_state::unknown);
}

} // namespace pistachiohub::forward
