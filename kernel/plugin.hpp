#pragma once

/// @file
/// Plug-ins and their registry. A plug-in registers itself by a static `registration` object.

#include "kernel/daemon_context.hpp"

#include <memory>
#include <span>
#include <string_view>

namespace pistachiohub::kernel
{

/// The work of one thread of the daemon.
class duty
{
public:
    duty() = default;
    duty(duty const&) = delete;
    duty& operator=(duty const&) = delete;
    virtual ~duty() = default;

    /// Runs on the duty's own thread until request_stop() is called.
    virtual void run() = 0;

    /// Makes run() return soon; called from another thread.
    virtual void request_stop() = 0;
};

/// The part of the daemon to which a plug-in belongs; the settings choose one.
enum class daemon_part
{
    /// The project's own interface for lookups and requests with ids.
    request_interface,
    /// Forwarding of whole HTTP requests.
    gateway
};

/// A registered kind of duty.
struct plugin
{
    /// Name for logs and for the thread.
    std::string_view name;
    /// Duties start in rising order and stop in falling order.
    int start_order = 0;
    /// Makes the duty; throws kernel::error when the settings do not allow it to start.
    std::unique_ptr<duty> (*create)(daemon_context& context) = nullptr;
    daemon_part part = daemon_part::request_interface;
};

/// Registers a plug-in during static initialisation.
struct registration
{
    explicit registration(plugin const& registered);
};

/// @returns the registered plug-ins in start order.
[[nodiscard]] std::span<plugin const> registered_plugins();

} // namespace pistachiohub::kernel
