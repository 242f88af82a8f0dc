#pragma once

/// @file
/// What tests of duties share: a small world view, a thread for a duty, and waiting for messages.

#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "libraries/view/world_view.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <type_traits>
#include <utility>
#include <variant>

namespace pistachiohub::support
{

/// Longest wait for something that must happen.
inline constexpr auto wait_limit = std::chrono::seconds(5);

/// @returns settings of a daemon on 127.0.0.1 whose ports are chosen by the system.
[[nodiscard]] kernel::settings make_settings(std::string const& name);

/// @returns a view with the services `balance` (idempotent) and `redeem` (at-most-once), and this
/// daemon as the only entry host.
[[nodiscard]] view::world_view make_world(std::string const& name, std::uint64_t incarnation);

/// Runs a duty on its own thread; stops it at the end.
class running_duty
{
public:
    explicit running_duty(kernel::duty& run)
        : m_duty(run)
        , m_thread(
              [&run]()
              {
                  run.run();
              })
    {
    }

    ~running_duty()
    {
        stop();
    }

    running_duty(running_duty const&) = delete;
    running_duty& operator=(running_duty const&) = delete;

    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_duty.request_stop();
        m_thread.join();
    }

private:
    kernel::duty& m_duty;
    std::thread m_thread;
};

/// @returns true as soon as `condition` holds, false when it does not within `limit`.
template<class Condition>
[[nodiscard]] bool eventually(Condition condition, kernel::duration limit = wait_limit)
{
    auto const end = kernel::monotonic_now() + limit;
    while (!condition())
    {
        if (kernel::monotonic_now() >= end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

/// Sends a message that the mailbox must take.
template<class Message>
void push(kernel::mailbox<Message>& target, std::type_identity_t<Message>&& message)
{
    if (!target.try_push(std::move(message)))
        throw std::runtime_error("the mailbox of the test is full");
}

/// Waits for the next message of one kind in a mailbox of variants; others before it are dropped.
/// @returns the message, or nothing when none comes within `limit`.
template<class Wanted, class Message>
[[nodiscard]] std::optional<Wanted> receive(kernel::mailbox<Message>& source,
                                            kernel::duration limit = wait_limit)
{
    std::optional<Wanted> found;
    static_cast<void>(eventually(
        [&]()
        {
            // Messages behind the wanted one stay, since a full mailbox would not take them back.
            while (auto message = source.try_pop())
            {
                if (auto* const wanted = std::get_if<Wanted>(&*message))
                {
                    found = std::move(*wanted);
                    return true;
                }
            }
            return false;
        },
        limit));
    return found;
}

} // namespace pistachiohub::support
