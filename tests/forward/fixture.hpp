#pragma once

/// @file
/// A coordinator in a small world, driven by hand.

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

/// Services "look" (idempotent), "lock" (at-most-once) and "order" (at-most-once with a journal).
/// Domains a-1 and a-2 in region "a", b-1 in region "b".
[[nodiscard]] configuration::configuration make_configuration();

/// The view of host "own" in domain a-1 with two backend servers of 2 slots for each service. Host
/// "sibling" is in a-2, host "far" in b-1; neither offers credits.
[[nodiscard]] view::world_view make_world();

/// One coordinator, its world and the actions it asked for.
struct fixture
{
    forward::coordinator state;
    view::world_view world = make_world();
    kernel::monotonic_time now = kernel::monotonic_time{} + 1h;
    std::vector<forward::action> actions;
    std::uint64_t random = 1;
    std::uint64_t next_exchange = 1;

    /// Applies an event; `actions` then holds what it caused.
    void handle(events::forward_event event);

    /// Lets `elapsed` pass and ticks once.
    void pass(kernel::duration elapsed);

    /// Sends a caller's request with the id `unique` of this incarnation.
    /// @returns the exchange.
    std::uint64_t request(std::string_view service,
                          std::string_view unique,
                          std::string_view body = "body",
                          kernel::duration deadline = 5s);

    /// Receives a message of another daemon.
    template<class Content>
    void receive(std::string_view sender, std::uint64_t incarnation, Content content)
    {
        handle(events::peer_request_message{std::string(sender), incarnation, std::move(content)});
    }

    /// Makes all backend servers of a service leave.
    void remove_servers(std::string_view service);

    /// Has a host offer credits for a service for a long time.
    void offer(std::string_view host, std::string_view service, std::uint32_t slots);

    /// @returns the actions of type `Action` among those of the last step.
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

    /// @returns the only action of that type; nothing when there is none or more than one.
    template<class Action>
    [[nodiscard]] std::optional<Action> only() const
    {
        auto const found = all<Action>();
        return found.size() == 1 ? std::optional(found.front()) : std::nullopt;
    }

private:
    /// Calls `visit` with each message in an action, and with the command that carries it.
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

/// @returns the id `unique` of the fixture's incarnation and epoch.
[[nodiscard]] identity::request_id own_id(std::string_view unique);

/// @returns true if the only reply of the last step has this outcome and reason.
[[nodiscard]] bool replied(fixture const& subject, outcome result, reason cause);

/// @returns true if the only settlement of the last step has this outcome and flag.
[[nodiscard]] bool settled(fixture const& subject, outcome result, bool was_unresolved = false);

} // namespace pistachiohub::forward_test
