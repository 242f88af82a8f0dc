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

void simulation::after(kernel::duration delay, std::function<void()> call)
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

bool simulation::draw(unsigned percent)
{
    return below(100) < percent;
}

std::uint64_t simulation::below(std::uint64_t bound)
{
    return random() % bound;
}

kernel::duration simulation::between_ms(std::uint64_t least, std::uint64_t most)
{
    return std::chrono::milliseconds(least + below(most - least + 1));
}

void simulated_servers::dispatch(simulation& world,
                                 events::dispatch_attempt const& command,
                                 report const& tell)
{
    auto const dispatch = command.dispatch;
    auto const send = [tell, dispatch](attempt_end end, std::string answer = {})
    {
        tell(events::attempt_result{dispatch, end, std::move(answer)});
    };
    if (world.draw(12))
    {
        send(world.draw(50) ? attempt_end::refused : attempt_end::never_sent);
        return;
    }
    // True once the connection has ended; the server may start or go on all the same.
    auto const is_over = std::make_shared<bool>(false);
    auto const start_delay = world.draw(25) ? world.between_ms(50, 4000) : world.between_ms(0, 5);
    auto const run_time = world.draw(15) ? world.between_ms(1000, 6000) : world.between_ms(1, 100);
    world.after(start_delay,
                [this, &world, command, send, is_over, run_time]()
                {
                    if (cancelled.contains(key_of(command)))
                    {
                        if (!std::exchange(*is_over, true))
                            send(attempt_end::refused);
                        return;
                    }
                    started.insert(key_of(command));
                    ++runs[to_string(command.id)];
                    world.after(run_time,
                                [command, send, is_over]()
                                {
                                    if (!std::exchange(*is_over, true))
                                        send(attempt_end::answered,
                                             expected_answer(to_string(command.id), command.body));
                                });
                });
    if (world.draw(20))
        world.after(world.between_ms(1, 1000),
                    [send, is_over]()
                    {
                        if (!std::exchange(*is_over, true))
                            send(attempt_end::broken);
                    });
    world.after(std::max(command.deadline - world.now, kernel::duration{}),
                [send, is_over]()
                {
                    if (!*is_over)
                        send(attempt_end::deadline);
                });
}

void simulated_servers::cancel(simulation& world,
                               events::cancel_attempt const& command,
                               report const& tell)
{
    auto const is_started = started.contains(key_of(command));
    if (!is_started && world.draw(85))
        cancelled.insert(key_of(command));
    auto const is_known = cancelled.contains(key_of(command)) && world.draw(90);
    tell(events::cancel_result{command.dispatch, is_known});
}

std::string expected_answer(std::string const& id, std::string const& body)
{
    return "answer to " + body + " of " + id;
}

} // namespace pistachiohub::forward_test
