#include "plugins/backend/backend_duty.hpp"

#include <utility>

namespace pistachiohub::backend
{

namespace
{

constexpr int backend_start_order = 30;
// With the probe's own time this stays under the 2 s after which a leaving backend server receives
// no new work.
constexpr auto probe_interval = std::chrono::seconds(1);
constexpr auto idle_check_interval = std::chrono::milliseconds(500);
constexpr auto limits_lifetime = std::chrono::milliseconds(500);
// Results that a full mailbox refused are tried again after this time.
constexpr auto flush_interval = std::chrono::milliseconds(10);

std::unique_ptr<kernel::duty> create(kernel::daemon_context& context)
{
    return std::make_unique<backend_duty>(context);
}

kernel::registration const backend_registration({"backend", backend_start_order, create});

} // namespace

backend_duty::backend_duty(kernel::daemon_context& context, backend_client_times const& times)
    : m_context(context)
    , m_commands(context.shared<kernel::mailbox<events::backend_command>>())
    , m_control(context.shared<kernel::mailbox<events::control_event>>())
    , m_results(context.shared<kernel::mailbox<events::forward_event>>())
    , m_world(context.shared<kernel::snapshot<view::world_view>>())
    , m_client(m_loop,
               context.own_metrics(),
               times,
               {[this](events::attempt_result&& result)
                {
                    m_results.push(std::move(result));
                },
                [this](events::cancel_result const& result)
                {
                    m_results.push(result);
                },
                [this](events::backend_observation&& observation)
                {
                    // The next observation follows within a second.
                    if (!m_control.try_push(std::move(observation)))
                        m_context.own_metrics()
                            .find_counter("pistachiohub_backend_observations_dropped_total")
                            .increment();
                }})
{
}

backend_duty::~backend_duty()
{
    m_commands.set_wake_up({});
}

void backend_duty::run()
{
    m_loop.consume(m_commands,
                   [this](events::backend_command&& command)
                   {
                       handle(std::move(command));
                   });
    m_loop.every(probe_interval,
                 [this]()
                 {
                     probe();
                 });
    m_loop.every(idle_check_interval,
                 [this]()
                 {
                     m_client.close_idle();
                 });
    m_loop.every(flush_interval,
                 [this]()
                 {
                     m_results.flush();
                 });
    m_loop.run();
}

void backend_duty::request_stop()
{
    m_loop.stop();
}

void backend_duty::handle(events::backend_command&& command)
{
    if (auto* const attempt = std::get_if<events::dispatch_attempt>(&command))
    {
        update_limits();
        m_client.dispatch(std::move(*attempt));
    }
    else
        m_client.cancel(std::get<events::cancel_attempt>(command));
}

void backend_duty::update_limits()
{
    // The control duty may publish many times a second; the limits change with hosts and services.
    auto const now = kernel::monotonic_now();
    auto const* const world = m_world.get();
    if (world == nullptr || now < m_limits_expire_at)
        return;
    m_client.set_limits(*world);
    m_limits_expire_at = now + limits_lifetime;
}

void backend_duty::probe()
{
    if (auto const* const world = m_world.get())
        m_client.probe(*world);
}

} // namespace pistachiohub::backend
