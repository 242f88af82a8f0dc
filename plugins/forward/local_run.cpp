#include "plugins/forward/local_run.hpp"

#include "plugins/forward/server_slots.hpp"
#include "plugins/forward/step.hpp"

namespace pistachiohub::forward
{

namespace
{

/// Each run contributes 1/8 to the moving average of run times.
constexpr int run_time_weight_divisor = 8;

void request_cancel(step& current,
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

void finish_run(step& current, local_run& run, run_state state)
{
    run.state = state;
    run.check_at = kernel::monotonic_time::max();
    release_slot(current, run);
}

run_change apply_connection_loss(step& current,
                                 local_run& run,
                                 identity::request_id const& id,
                                 std::uint32_t attempt)
{
    auto const is_connected = run.state == run_state::running || run.state == run_state::overdue;
    if (!is_connected)
        return run_change::none;
    release_slot(current, run);
    if (run.cancel == cancel_state::denied)
    {
        finish_run(current, run, run_state::unknown);
        return run_change::broken_may_have_run;
    }
    run.state = run_state::broken;
    run.check_at = current.now + follow_up_time;
    request_cancel(current, run, id, attempt);
    return run_change::broken;
}

} // namespace

bool is_pending(run_state state)
{
    return state == run_state::running || state == run_state::broken || state == run_state::overdue;
}

run_change apply_run_end(step& current,
                         local_run& run,
                         identity::request_id const& id,
                         std::uint32_t attempt,
                         events::attempt_end reported_end)
{
    if (run.state == run_state::not_run && reported_end == events::attempt_end::answered)
        add_log_entry(current,
                      kernel::log_level::error,
                      "answer_after_proof_of_not_run",
                      {{"id", to_string(id)}, {"backend_server", run.backend_server}});
    if (run.state == run_state::answered || run.state == run_state::not_run)
        return run_change::none;
    switch (reported_end)
    {
    case events::attempt_end::answered:
        record_answer(current, run.backend_server);
        finish_run(current, run, run_state::answered);
        return run_change::answered;
    case events::attempt_end::refused:
        record_refusal(current, run.backend_server);
        finish_run(current, run, run_state::not_run);
        return run_change::refused;
    case events::attempt_end::never_sent:
        record_refusal(current, run.backend_server);
        finish_run(current, run, run_state::not_run);
        return run_change::never_sent;
    case events::attempt_end::broken:
        return apply_connection_loss(current, run, id, attempt);
    case events::attempt_end::deadline:
        if (run.state != run_state::running)
            return run_change::none;
        mark_overdue(current, run, id, attempt);
        return run_change::overdue;
    }
    return run_change::none;
}

run_change apply_run_cancel_result(step& current, local_run& run, bool is_cancelled)
{
    if (run.state == run_state::answered || run.state == run_state::not_run)
        return run_change::none;
    if (is_cancelled)
    {
        finish_run(current, run, run_state::not_run);
        return run_change::cancelled;
    }
    run.cancel = cancel_state::denied;
    if (run.state != run_state::broken)
        return run_change::none;
    finish_run(current, run, run_state::unknown);
    return run_change::broken_may_have_run;
}

void record_run_time(step& current, std::string const& service, local_run const& run)
{
    auto& average = current.state.services[service].run_time;
    auto const measured = current.now - run.started_at;
    average += average == kernel::duration::zero() ? measured
                                                   : (measured - average) / run_time_weight_divisor;
}

void mark_overdue(step& current,
                  local_run& run,
                  identity::request_id const& id,
                  std::uint32_t attempt)
{
    if (!is_pending(run.state))
        return;
    if (run.state == run_state::running)
        run.state = run_state::overdue;
    run.check_at = current.now + follow_up_time;
    request_cancel(current, run, id, attempt);
}

void stop_follow_up(step& current, local_run& run)
{
    finish_run(current, run, run_state::unknown);
}

} // namespace pistachiohub::forward
