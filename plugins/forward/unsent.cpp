#include "plugins/forward/unsent.hpp"

#include <string>
#include <utility>
#include <variant>

namespace pistachiohub::forward
{

events::forward_event unsent_event(events::backend_command const& command)
{
    if (auto const* const dispatch = std::get_if<events::dispatch_attempt>(&command))
        return events::attempt_result{dispatch->dispatch, events::attempt_end::never_sent, {}};
    return events::cancel_result{std::get<events::cancel_attempt>(command).dispatch, false};
}

std::optional<events::forward_event> unsent_event(events::peer_command command)
{
    if (auto* const submit = std::get_if<messages::submit>(&command.content))
    {
        submit->body = std::string();
        return events::peer_unsent{std::move(*submit)};
    }
    if (auto* const relay = std::get_if<messages::relay>(&command.content))
    {
        relay->body = std::string();
        return events::peer_unsent{std::move(*relay)};
    }
    return std::nullopt;
}

std::optional<events::forward_event> unsent_event(events::store_command const& command)
{
    if (auto const* const intent = std::get_if<events::append_intent>(&command))
        return events::intent_refused{intent->id};
    if (auto const* const fence = std::get_if<events::fence_owner>(&command))
        return events::fence_result{fence->id, outcome::unresolved, reason::owner_unreachable};
    return std::nullopt;
}

} // namespace pistachiohub::forward
