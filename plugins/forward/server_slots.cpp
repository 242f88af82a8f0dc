#include "plugins/forward/server_slots.hpp"

#include "plugins/forward/step.hpp"

#include <algorithm>
#include <cassert>

namespace pistachiohub::forward
{

std::vector<steer::server_usage> list_usage(slot_table const& slots, view::world_view const& world)
{
    std::vector<steer::server_usage> listed;
    listed.reserve(world.backend_servers.size());
    for (auto const& server : world.backend_servers)
    {
        auto const found = slots.usage.find(server.name);
        listed.push_back(found == slots.usage.end() ? steer::server_usage{} : found->second);
    }
    return listed;
}

void take_slot(step& current,
               local_run& run,
               view::backend_server const& server,
               kernel::monotonic_time deadline,
               bool is_suspect)
{
    run.dispatch = current.state.next_dispatch++;
    run.backend_server = server.name;
    run.address = server.address;
    run.port = server.port;
    run.state = run_state::running;
    run.started_at = current.now;
    run.check_at = deadline + follow_up_time;
    run.holds_slot = true;
    run.is_exclusive = is_suspect;
    auto& usage = current.state.servers.usage[server.name];
    ++usage.in_flight;
    usage.is_exclusive = usage.is_exclusive || is_suspect;
}

void release_slot(step& current, local_run& run)
{
    if (!run.holds_slot)
        return;
    run.holds_slot = false;
    auto& usage = current.state.servers.usage[run.backend_server];
    assert(usage.in_flight > 0);
    --usage.in_flight;
    if (run.is_exclusive)
        usage.is_exclusive = false;
}

void record_answer(step& current, std::string_view backend_server)
{
    auto const found = current.state.servers.usage.find(backend_server);
    if (found != current.state.servers.usage.end())
        found->second.refusals = 0;
}

void record_refusal(step& current, std::string_view backend_server)
{
    auto const found = current.state.servers.usage.find(backend_server);
    if (found == current.state.servers.usage.end())
        return;
    ++found->second.refusals;
    found->second.last_refusal = current.now;
}

void drop_removed_servers(slot_table& slots, view::world_view const& world)
{
    std::erase_if(slots.usage,
                  [&world](auto const& entry)
                  {
                      if (entry.second.in_flight > 0)
                          return false;
                      return std::none_of(world.backend_servers.begin(),
                                          world.backend_servers.end(),
                                          [&entry](view::backend_server const& server)
                                          {
                                              return server.name == entry.first;
                                          });
                  });
}

} // namespace pistachiohub::forward
