#pragma once

/// @file
/// The loop of a duty that watches one kind of the store's objects.

#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "libraries/events/control_event.hpp"
#include "libraries/object_store/object_store.hpp"
#include "plugins/store/wake_signal.hpp"

#include <functional>
#include <optional>
#include <random>
#include <string>

namespace pistachiohub::store
{

/// Reads all objects of a kind once, then follows changes by long polls, while this daemon is a
/// reader.
class watch_loop : public kernel::duty
{
public:
    /// Turns an object, read at a store revision, into a message to the control duty, or nothing
    /// when it is not valid.
    using convert_function = std::function<std::optional<events::control_event>(
        object_store::object const&, std::uint64_t revision)>;

    /// @param reports_polls whether the control duty gets `host_list_polled`.
    watch_loop(kernel::daemon_context& context,
               std::string kind,
               convert_function convert,
               bool reports_polls);

    void run() override;
    void request_stop() override;

private:
    [[nodiscard]] bool is_reader();
    void poll();
    void report(events::host_list_polled const& poll);
    void deliver(events::control_event const& event);
    void wait(kernel::duration delay);

    kernel::daemon_context& m_context;
    std::string m_kind;
    convert_function m_convert;
    bool m_reports_polls;
    kernel::snapshot_reader<events::reader_role> m_role;
    kernel::mailbox<events::control_event>& m_control;
    object_store::client m_client;
    wake_signal m_signal;
    std::mt19937_64 m_random{std::random_device{}()};
    /// Missing until the first full read as a reader.
    std::optional<std::uint64_t> m_revision;
    unsigned m_failures = 0;
};

} // namespace pistachiohub::store
