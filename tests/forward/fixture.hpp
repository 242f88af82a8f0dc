#pragma once

/// @file
/// Fixture with a coordinator in a small deployment. Tests pass events in and set the time.

#include "plugins/forward/coordinator.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace pistachiohub::forward_test
{

using namespace std::chrono_literals;

inline constexpr std::uint64_t own_incarnation = 1000;
inline constexpr std::uint64_t peer_incarnation = 2000;
inline constexpr std::uint64_t far_incarnation = 3000;
inline constexpr std::uint32_t own_epoch = 20;

/// @returns a configuration with the services "look" (idempotent), "lock" (at-most-once) and
/// "order" (at-most-once with a journal), and the failure domains a-1 and a-2 in region "a" and b-1
/// in region "b".
[[nodiscard]] configuration::configuration make_configuration();

/// @returns the view of host "own" in domain a-1, which has two backend servers with 2 slots each
/// for every service. Host "sibling" is in a-2 and host "far" in b-1; neither offers credits.
[[nodiscard]] view::world_view make_world();

/// A coordinator, its view and the actions of its last step.
struct fixture
{
    forward::coordinator state;
    view::world_view world = make_world();
    kernel::monotonic_time now = kernel::monotonic_time{} + 1h;
    std::vector<forward::action> actions;
    std::uint64_t random = 1;
    std::uint64_t next_exchange = 1;

    /// Passes an event to the coordinator and stores the resulting actions in `actions`.
    void handle(events::forward_event event);

    /// Advances the time by `elapsed`, calls `tick` once and stores the resulting actions.
    void advance_time(kernel::duration elapsed);

    /// Sends a request from a caller. Its id is owned by this incarnation and has the unique part
    /// `unique`.
    /// @param deadline time until the deadline.
    /// @returns the exchange number.
    std::uint64_t request(std::string_view service,
                          std::string_view unique,
                          std::string_view body = "body",
                          kernel::duration deadline = 5s);

    /// Passes a message from another daemon to the coordinator.
    template<class Content>
    void receive(std::string_view sender, std::uint64_t incarnation, Content content)
    {
        handle(events::peer_request_message{std::string(sender), incarnation, std::move(content)});
    }

    /// Sets all backend servers of a service to the state `leaving`.
    void remove_servers(std::string_view service);

    /// Makes a host offer `slots` credits for a service, valid for an hour.
    void offer_credits(std::string_view host, std::string_view service, std::uint32_t slots);

    /// @returns the actions of the last step that have the type `Action`, and the messages of that
    /// type that they carry.
    template<class Action>
    [[nodiscard]] std::vector<Action> all() const
    {
        std::vector<Action> found;
        auto const visit = [&found](auto const& item)
        {
            if constexpr (std::is_same_v<std::remove_cvref_t<decltype(item)>, Action>)
                found.push_back(item);
        };
        for (auto const& item : actions)
            visit_messages(item, visit);
        return found;
    }

    /// @returns the action of type `Action` if there is exactly one, otherwise nothing.
    template<class Action>
    [[nodiscard]] std::optional<Action> only() const
    {
        auto const found = all<Action>();
        return found.size() == 1 ? std::optional(found.front()) : std::nullopt;
    }

private:
    /// Calls `visit` with an action and with each message nested in it.
    template<class Item, class Visitor>
    static void visit_messages(Item const& item, Visitor const& visit)
    {
        visit(item);
        if constexpr (std::is_same_v<Item, events::peer_command>)
            visit_messages(item.content, visit);
        if constexpr (requires { item.valueless_by_exception(); })
            std::visit(
                [&visit](auto const& content)
                {
                    visit_messages(content, visit);
                },
                item);
    }
};

/// @returns an id with the unique part `unique`, of the fixture's incarnation and epoch.
[[nodiscard]] identity::request_id own_id(std::string_view unique);

/// @returns true if the last step sent exactly one reply and it has this outcome and reason.
[[nodiscard]] bool replied(fixture const& subject, outcome result, reason cause);

/// @returns true if the last step sent exactly one settlement and it has this outcome and this
/// value of `was_unresolved`.
[[nodiscard]] bool settled(fixture const& subject, outcome result, bool was_unresolved = false);

} // namespace pistachiohub::forward_test
