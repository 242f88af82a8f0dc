#include "kernel/daemon.hpp"

#include "kernel/clock.hpp"
#include "kernel/log.hpp"
#include "kernel/plugin.hpp"

#include <pthread.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <exception>
#include <random>
#include <thread>
#include <vector>

namespace pistachiohub::kernel
{

namespace
{

constexpr auto signal_poll_interval = std::chrono::milliseconds(20);
// Linux limits the name of a thread to 15 characters.
constexpr std::size_t longest_thread_name = 15;

struct running_duty
{
    std::string_view name;
    std::unique_ptr<duty> work;
    std::thread thread;
};

// Signals are blocked in every thread and polled here, so no code runs in a signal handler.
sigset_t block_termination_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

bool has_pending_signal(sigset_t const& signals)
{
    timespec const no_wait{};
    return sigtimedwait(&signals, nullptr, &no_wait) > 0;
}

// A duty that throws is a defect. The daemon ends at once, because a daemon without one of its
// duties would still look alive to its peers.
void run_duty(running_duty& running)
{
    try
    {
        running.work->run();
    }
    catch (std::exception const& failure)
    {
        log_event(log_level::error,
                  "kernel",
                  "duty_failed",
                  {{"duty", running.name}, {"error", std::string_view(failure.what())}});
        std::terminate();
    }
}

void start_thread(running_duty& running)
{
    running.thread = std::thread(
        [&running]()
        {
            run_duty(running);
        });
    auto const thread_name = std::string(running.name.substr(0, longest_thread_name));
    pthread_setname_np(running.thread.native_handle(), thread_name.c_str());
}

void wait_until_drained(daemon_context& context, sigset_t const& signals)
{
    while (!context.is_drained())
    {
        if (has_pending_signal(signals) && !context.is_draining())
        {
            log_event(log_level::info, "kernel", "drain_started", {{"cause", "signal"}});
            context.begin_drain();
        }
        std::this_thread::sleep_for(signal_poll_interval);
    }
}

} // namespace

void run_daemon(daemon_context& context)
{
    auto const signals = block_termination_signals();
    std::vector<running_duty> duties;
    for (auto const& registered : registered_plugins())
        duties.push_back({registered.name, registered.create(context), {}});
    for (auto& running : duties)
        start_thread(running);
    log_event(log_level::info,
              "kernel",
              "daemon_started",
              {{"incarnation", context.incarnation()}, {"duties", duties.size()}});
    wait_until_drained(context, signals);
    for (auto running = duties.rbegin(); running != duties.rend(); ++running)
    {
        running->work->request_stop();
        running->thread.join();
    }
    log_event(log_level::info, "kernel", "daemon_stopped");
}

std::uint64_t new_incarnation()
{
    std::random_device device;
    constexpr auto random_mask = (1U << incarnation_random_bits) - 1;
    return (wall_clock_ms() << incarnation_random_bits) | (device() & random_mask);
}

} // namespace pistachiohub::kernel
