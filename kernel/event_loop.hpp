#pragma once

/// @file
/// The event loop that a duty's thread runs. Asio stays inside the implementation file.

#include "kernel/clock.hpp"
#include "kernel/mailbox.hpp"

#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace pistachiohub::kernel
{

/// A single-threaded event loop with timers.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    /// Runs handlers on the calling thread until stop() is called.
    void run();

    /// Ends run(); may be called from any thread.
    void stop();

    /// Runs `task` on the loop's thread; may be called from any thread.
    void post(std::function<void()> task);

    /// Runs `task` on the loop's thread every `interval`, until the loop stops.
    void every(duration interval, std::function<void()> task);

    /// Runs `task` once on the loop's thread after `delay`.
    void after(duration delay, std::function<void()> task);

    /// Has every message of `source` handled on the loop's thread.
    ///
    /// `source` must outlive the loop or lose its wake-up callback first.
    template<class Message, class Handler>
    void consume(mailbox<Message>& source, Handler handle)
    {
        source.set_wake_up(
            [this, &source, handle]()
            {
                post(
                    [&source, handle]()
                    {
                        source.drain(handle);
                    });
            });
    }

    /// @returns the underlying context, for sockets of the same thread.
    [[nodiscard]] boost::asio::io_context& context();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace pistachiohub::kernel
