#pragma once

/// @file
/// Configurations and host lists of the sizes in section 1 of the design.

#include "libraries/events/control_event.hpp"
#include "plugins/membership/control_state.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace pistachiohub::bench
{

/// Size of a fleet.
struct fleet_size
{
    std::size_t failure_domains = 148;
    std::size_t regions = 51;
    std::size_t hosts_in_domain = 54;
    /// 148 failure domains times 36 services are 5,328 sites.
    std::size_t services = 36;
    std::size_t servers_for_each_service = 16;
    std::size_t client_blocks = 110000;
};

inline constexpr std::uint64_t first_incarnation = 1;

/// @returns the name of a host of the fleet.
[[nodiscard]] std::string host_name(std::size_t domain, std::size_t host);

/// @returns the configuration of the fleet.
[[nodiscard]] std::shared_ptr<configuration::configuration const>
make_configuration(fleet_size const& size);

/// @returns the control state of host 0 of domain 0, with the configuration and all host lists, and
/// with every other host heard once at `now`.
[[nodiscard]] membership::control_state make_control_state(fleet_size const& size,
                                                           kernel::monotonic_time now);

} // namespace pistachiohub::bench
