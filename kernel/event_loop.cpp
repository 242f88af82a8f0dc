#include "kernel/event_loop.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace pistachiohub::kernel
{

struct event_loop::implementation
{
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
        context.get_executor()};
};

namespace
{

using boost::asio::steady_timer;

void arm_periodic(std::shared_ptr<steady_timer> const& timer,
                  duration interval,
                  std::shared_ptr<std::function<void()>> const& task)
{
    timer->async_wait(
        [timer, interval, task](boost::system::error_code failure)
        {
            if (failure)
                return;
            (*task)();
            timer->expires_after(interval);
            arm_periodic(timer, interval, task);
        });
}

} // namespace

event_loop::event_loop()
    : m_implementation(std::make_unique<implementation>())
{
}

event_loop::~event_loop() = default;

void event_loop::run()
{
    m_implementation->context.run();
}

void event_loop::stop()
{
    m_implementation->context.stop();
}

void event_loop::post(std::function<void()> task)
{
    boost::asio::post(m_implementation->context, std::move(task));
}

void event_loop::every(duration interval, std::function<void()> task)
{
    auto timer = std::make_shared<steady_timer>(m_implementation->context, interval);
    arm_periodic(timer, interval, std::make_shared<std::function<void()>>(std::move(task)));
}

void event_loop::after(duration delay, std::function<void()> task)
{
    auto timer = std::make_shared<steady_timer>(m_implementation->context, delay);
    timer->async_wait(
        [timer, task = std::move(task)](boost::system::error_code failure)
        {
            if (!failure)
                task();
        });
}

boost::asio::io_context& event_loop::context()
{
    return m_implementation->context;
}

} // namespace pistachiohub::kernel
