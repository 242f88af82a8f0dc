#include "kernel/daemon.hpp"

#include "kernel/clock.hpp"
#include "kernel/log.hpp"
#include "kernel/plugin.hpp"
#include "kernel/settings_file.hpp"

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

// Signals end the wait at once; the interval bounds how late the end of a drain is noticed.
constexpr long signal_wait_ns = 250'000'000;
// Linux limits the name of a thread to 15 characters.
constexpr std::size_t longest_thread_name = 15;

struct running_duty
{
    std::string_view name;
    std::unique_ptr<duty> work;
    std::thread thread;
};

// Signals are blocked in every thread and waited for here, so no code runs in a signal handler.
sigset_t block_signals()
{
    // Whoever reads the log may end before the daemon does.
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

// Returns the signal, or a value below 1 when none arrived in time.
int wait_for_signal(sigset_t const& signals)
{
    timespec const longest_wait{0, signal_wait_ns};
    return sigtimedwait(&signals, nullptr, &longest_wait);
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

void wait_until_drained(daemon_context& context, sigset_t const& signals, settings_file* file)
{
    while (!context.is_drained())
    {
        auto const signal = wait_for_signal(signals);
        bool const is_termination = signal == SIGTERM || signal == SIGINT;
        if (is_termination && !context.is_draining())
        {
            log_event(log_level::info, "kernel", "drain_started", {{"cause", "signal"}});
            context.begin_drain();
        }
        if (file != nullptr)
            reload_if_changed(*file, context, signal == SIGHUP);
    }
}

daemon_part wanted_part(settings const& own_settings)
{
    return own_settings.gateway ? daemon_part::gateway : daemon_part::request_interface;
}

} // namespace

void run_daemon(daemon_context& context, settings_file* file)
{
    auto const signals = block_signals();
    auto const part = wanted_part(context.own_settings());
    std::vector<running_duty> duties;
    for (auto const& registered : registered_plugins())
    {
        if (registered.part == part)
            duties.push_back({registered.name, registered.create(context), {}});
    }
    for (auto& running : duties)
        start_thread(running);
    log_event(log_level::info,
              "kernel",
              "daemon_started",
              {{"incarnation", context.incarnation()},
               {"version", PISTACHIOHUB_VERSION},
               {"duties", duties.size()}});
    wait_until_drained(context, signals, file);
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
