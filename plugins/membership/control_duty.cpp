#include "kernel/event_loop.hpp"
#include "kernel/log.hpp"
#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "plugins/membership/control_state.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace pistachiohub::membership
{

namespace
{

constexpr int control_start_order = 20;
constexpr kernel::duration tick_interval = std::chrono::milliseconds(25);
constexpr std::string_view area = "membership";

double random_jitter()
{
    std::random_device device;
    return std::generate_canonical<double, 32>(device);
}

/// The thread "control".
class control_duty final : public kernel::duty
{
public:
    explicit control_duty(kernel::daemon_context& context)
        : m_context(&context)
        , m_state(context.own_settings(),
                  context.incarnation(),
                  random_jitter(),
                  kernel::monotonic_now())
    {
        // The other duties find a view from their start on, which names the seed peers.
        publish();
    }

    void run() override
    {
        auto& events = m_context->shared<kernel::mailbox<events::control_event>>();
        m_loop.consume(events,
                       [this](events::control_event&& event)
                       {
                           m_state.handle(std::move(event), kernel::monotonic_now());
                           publish();
                       });
        m_loop.every(tick_interval,
                     [this]()
                     {
                         m_state.tick(m_context->is_draining(), kernel::monotonic_now());
                         publish_role();
                         publish();
                     });
        m_loop.run();
        events.set_wake_up({});
    }

    void request_stop() override
    {
        m_loop.stop();
    }

private:
    void publish()
    {
        publish_view();
        send_commands();
        report_notices();
    }

    void publish_view()
    {
        auto const world = m_state.take_view(kernel::monotonic_now());
        if (!world)
            return;
        m_context->shared<kernel::snapshot<view::world_view>>().publish(world);
        auto& metrics = m_context->own_metrics();
        metrics.find_counter("pistachiohub_world_views_total").increment();
        metrics.set_gauge("pistachiohub_configuration_version",
                          static_cast<double>(world->configuration->version));
        set_state_gauges("pistachiohub_live_entry_hosts", world->entry_hosts);
        set_state_gauges("pistachiohub_live_backend_servers", world->backend_servers);
    }

    template<class Host>
    void set_state_gauges(std::string_view name, std::vector<Host> const& hosts)
    {
        auto const live = std::count_if(hosts.begin(),
                                        hosts.end(),
                                        [](Host const& host)
                                        {
                                            return host.state == view::member_state::live;
                                        });
        m_context->own_metrics().set_gauge(name, static_cast<double>(live));
    }

    void publish_role()
    {
        bool const is_reader = m_state.is_reader();
        if (m_has_role && is_reader == m_is_reader)
            return;
        m_has_role = true;
        m_is_reader = is_reader;
        m_context->shared<kernel::snapshot<events::reader_role>>().publish(
            std::make_shared<events::reader_role const>(events::reader_role{is_reader}));
        m_context->own_metrics().set_gauge("pistachiohub_is_reader", is_reader ? 1 : 0);
    }

    void send_commands()
    {
        auto& peers = m_context->shared<kernel::mailbox<events::peer_command>>();
        for (auto& command : m_state.take_commands())
        {
            // The next round repeats what a full ring refuses.
            if (!peers.try_push(std::move(command)))
                m_context->own_metrics()
                    .find_counter("pistachiohub_control_commands_dropped_total")
                    .increment();
        }
    }

    void report_notices()
    {
        for (auto const& entry : m_state.take_notices())
        {
            m_context->own_metrics()
                .find_counter("pistachiohub_control_events_total", {"event", entry.event})
                .increment();
            kernel::log_event(entry.level,
                              area,
                              entry.event,
                              {{"subject", entry.subject}, {"detail", entry.detail}});
        }
    }

    kernel::daemon_context* m_context;
    kernel::event_loop m_loop;
    control_state m_state;
    bool m_has_role = false;
    bool m_is_reader = false;
};

std::unique_ptr<kernel::duty> create_control_duty(kernel::daemon_context& context)
{
    return std::make_unique<control_duty>(context);
}

kernel::registration const
    control_registration({"control", control_start_order, create_control_duty});

} // namespace

} // namespace pistachiohub::membership
