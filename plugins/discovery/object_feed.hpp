#pragma once

/// @file
/// The loop of a duty that reads one kind of the store's objects for the gateway.

#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "libraries/events/gateway_event.hpp"
#include "libraries/interface/interface.hpp"
#include "libraries/object_store/object_store.hpp"
#include "plugins/discovery/rhythm.hpp"
#include "plugins/store/wake_signal.hpp"

#include <functional>
#include <optional>
#include <random>
#include <string>

namespace pistachiohub::discovery
{

/// Reads all objects of a kind once, then follows changes by watches.
class object_feed : public kernel::duty
{
public:
    /// Turns what was read into a message to the gateway.
    using convert_function = std::function<events::gateway_event(
        bool is_complete, object_store::list_result const& read)>;

    object_feed(kernel::daemon_context& context,
                interface::deployment_interface const& spoken,
                std::string_view kind,
                feed_rhythm const& rhythm,
                convert_function convert);

    void run() override;
    void request_stop() override;

private:
    void poll();
    void handle_failure(object_store::status end);
    void report_contact(bool is_reachable, object_store::status end);
    void deliver(events::gateway_event const& event);

    kernel::daemon_context& m_context;
    std::string m_kind;
    feed_rhythm m_rhythm;
    convert_function m_convert;
    kernel::mailbox<events::gateway_event>& m_gateway;
    object_store::client m_client;
    store::wake_signal m_signal;
    std::mt19937_64 m_random{std::random_device{}()};
    /// Missing until all objects were read.
    std::optional<std::uint64_t> m_revision;
    unsigned m_failures = 0;
};

} // namespace pistachiohub::discovery
