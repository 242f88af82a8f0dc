#include "kernel/daemon_context.hpp"
#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "libraries/events/control_event.hpp"
#include "libraries/events/peer_command.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

namespace pistachiohub
{

namespace
{

using namespace std::chrono_literals;

kernel::settings make_settings()
{
    kernel::settings settings;
    settings.name = "own";
    settings.failure_domain = "a-1";
    settings.seed_peers = {{"seed", "b-1", "10.0.0.9", 7}};
    return settings;
}

template<class Condition>
bool wait_until(Condition is_met)
{
    auto const end = kernel::monotonic_now() + 5s;
    while (!is_met() && kernel::monotonic_now() < end)
        std::this_thread::sleep_for(5ms);
    return is_met();
}

} // namespace

// The other threads depend on views, roles and commands that cross from the control thread.
TEST_CASE("control_duty_events_reach_snapshots_and_peer_mailbox", "[membership][concurrent]")
{
    kernel::daemon_context context(make_settings(), 5);
    auto const plugins = kernel::registered_plugins();
    auto const control = std::find_if(plugins.begin(),
                                      plugins.end(),
                                      [](kernel::plugin const& registered)
                                      {
                                          return registered.name == "control";
                                      });
    REQUIRE(control != plugins.end());
    auto const duty = control->create(context);
    auto& views = context.shared<kernel::snapshot<view::world_view>>();
    REQUIRE(views.load());
    CHECK(views.load()->configuration->version == 0);
    std::thread thread(
        [&duty]()
        {
            duty->run();
        });

    auto const& roles = context.shared<kernel::snapshot<events::reader_role>>();
    CHECK(wait_until(
        [&roles]()
        {
            auto const role = roles.load();
            return role && role->is_reader;
        }));
    auto& events = context.shared<kernel::mailbox<events::control_event>>();
    configuration::configuration document;
    document.version = 4;
    CHECK(events.try_push(events::configuration_received{
        std::make_shared<configuration::configuration const>(document),
        std::make_shared<std::string const>("{}")}));
    CHECK(wait_until(
        [&views]()
        {
            return views.load()->configuration->version == 4;
        }));
    context.begin_drain();
    CHECK(wait_until(
        [&views]()
        {
            return views.load()->is_draining;
        }));
    std::size_t beats = 0;
    context.shared<kernel::mailbox<events::peer_command>>().drain(
        [&beats](events::peer_command&& command)
        {
            beats += command.recipient == "seed" ? 1 : 0;
        });
    CHECK(beats >= 2);
    duty->request_stop();
    thread.join();
}

} // namespace pistachiohub
