#include "tests/forward/simulated_servers.hpp"

#include <memory>

namespace pistachiohub::forward_test
{

using events::attempt_end;
using namespace std::chrono_literals;

namespace
{

template<class Command>
simulated_servers::run_key key_of(Command const& command)
{
    return {command.backend_server, to_string(command.id) + "#" + std::to_string(command.attempt)};
}

} // namespace

void simulation::call_after(kernel::duration delay, std::function<void()> call)
{
    calls.emplace(now + delay, std::move(call));
}

void simulation::run_until(kernel::monotonic_time end)
{
    while (!calls.empty() && calls.begin()->first <= end)
    {
        auto call = std::move(calls.begin()->second);
        now = calls.begin()->first;
        calls.erase(calls.begin());
        call();
    }
}

bool simulation::chance(unsigned percent)
{
    return random_below(100) < percent;
}

std::uint64_t simulation::random_below(std::uint64_t bound)
{
    return random() % bound;
}

kernel::duration simulation::random_ms(std::uint64_t min_ms, std::uint64_t max_ms)
{
    return std::chrono::milliseconds(min_ms + random_below(max_ms - min_ms + 1));
}

void simulated_servers::dispatch(simulation& world,
                                 events::dispatch_attempt const& command,
                                 event_callback const& on_event)
{
    auto const dispatch = command.dispatch;
    auto const send = [on_event, dispatch](attempt_end end, std::string answer = {})
    {
        on_event(events::attempt_result{dispatch, end, std::move(answer)});
    };
    if (world.chance(12))
    {
        send(world.chance(50) ? attempt_end::refused : attempt_end::never_sent);
        return;
    }
    // True once a final result was reported. After a broken connection the server may still start
    // or continue the run.
    auto const has_ended = std::make_shared<bool>(false);
    auto const start_delay = world.chance(25) ? world.random_ms(50, 4000) : world.random_ms(0, 5);
    auto const run_time = world.chance(15) ? world.random_ms(1000, 6000) : world.random_ms(1, 100);
    world.call_after(start_delay,
                     [this, &world, command, send, has_ended, run_time]()
                     {
                         if (cancelled.contains(key_of(command)))
                         {
                             if (!std::exchange(*has_ended, true))
                                 send(attempt_end::refused);
                             return;
                         }
                         started.insert(key_of(command));
                         ++runs[to_string(command.id)];
                         world.call_after(
                             run_time,
                             [command, send, has_ended]()
                             {
                                 if (!std::exchange(*has_ended, true))
                                     send(attempt_end::answered,
                                          expected_answer(to_string(command.id), command.body));
                             });
                     });
    if (world.chance(20))
        world.call_after(world.random_ms(1, 1000),
                         [send, has_ended]()
                         {
                             if (!std::exchange(*has_ended, true))
                                 send(attempt_end::broken);
                         });
    world.call_after(std::max(command.deadline - world.now, kernel::duration{}),
                     [send, has_ended]()
                     {
                         if (!*has_ended)
                             send(attempt_end::deadline);
                     });
}

void simulated_servers::cancel(simulation& world,
                               events::cancel_attempt const& command,
                               event_callback const& on_event)
{
    auto const is_started = started.contains(key_of(command));
    if (!is_started && world.chance(85))
        cancelled.insert(key_of(command));
    auto const is_confirmed = cancelled.contains(key_of(command)) && world.chance(90);
    on_event(events::cancel_result{command.dispatch, is_confirmed});
}

std::string expected_answer(std::string const& id, std::string const& body)
{
    return "answer to " + body + " of " + id;
}

} // namespace pistachiohub::forward_test
