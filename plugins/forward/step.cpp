#include "plugins/forward/step.hpp"

#include <algorithm>
#include <limits>

namespace pistachiohub::forward
{

void emit(step& current, action item)
{
    current.actions.push_back(std::move(item));
}

void emit_peer(step& current,
               std::string_view recipient,
               std::uint64_t recipient_incarnation,
               messages::payload content)
{
    if (recipient == current.world.own_name)
        return;
    emit(current,
         events::peer_command{std::string(recipient), recipient_incarnation, std::move(content)});
}

void broadcast(step& current, messages::payload const& content)
{
    for (auto const& host : current.world.entry_hosts)
    {
        if (host.state != view::member_state::silent)
            emit_peer(current, host.name, 0, content);
    }
}

void increment_counter(step& current, metric which, reason cause)
{
    emit(current, counter_increment{which, to_string(cause)});
}

void increment_counter(step& current, metric which, outcome result)
{
    emit(current, counter_increment{which, to_string(result)});
}

void add_log_entry(step& current,
                   kernel::log_level level,
                   std::string_view event,
                   std::vector<std::pair<std::string_view, std::string>> fields)
{
    emit(current, log_entry{level, event, std::move(fields)});
}

std::uint64_t next_random(step& current)
{
    // splitmix64, a published generator that accepts any seed, including zero.
    current.random += 0x9e3779b97f4a7c15ULL;
    auto mixed = current.random;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

std::uint32_t remaining_ms(step const& current, kernel::monotonic_time deadline)
{
    if (deadline <= current.now)
        return 0;
    auto const remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - current.now).count();
    auto const most = std::int64_t{std::numeric_limits<std::uint32_t>::max()};
    return static_cast<std::uint32_t>(std::min<std::int64_t>(remaining, most));
}

configuration::service const* find_service(step const& current, std::string_view name)
{
    auto const position = view::find_service(current.world, name);
    return position == view::no_index ? nullptr : &current.world.configuration->services[position];
}

view::entry_host const* find_host(step const& current, std::string_view name)
{
    auto const position = view::find_entry_host(current.world, name);
    return position == view::no_index ? nullptr : &current.world.entry_hosts[position];
}

} // namespace pistachiohub::forward
