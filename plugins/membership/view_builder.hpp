#pragma once

/// @file
/// Makes the published world view from member and server states.

#include "kernel/settings.hpp"
#include "plugins/config/acceptance.hpp"
#include "plugins/membership/members.hpp"
#include "plugins/membership/order_table.hpp"
#include "plugins/membership/servers.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::membership
{

/// Derived tables that are kept while what they depend on is unchanged. They are costly to make
/// with 8,000 hosts, and most publications change only credits, loads or numbers of a policy.
struct derived_tables
{
    /// False after a change of any entry host's state or position.
    bool are_hosts_current = false;
    /// False after a change of any backend server's state or position.
    bool are_servers_current = false;
    /// Configuration from which the tables were made.
    std::shared_ptr<configuration::configuration const> source;
    order_tables orders;
    std::vector<view::index> entry_hosts_by_name;
    std::shared_ptr<view::client_table const> client_blocks;
    /// Hosts for which `slot_shares`, one for each backend server, were made.
    std::vector<std::string> sharing_hosts;
    std::vector<std::uint32_t> slot_shares;
};

/// What the view says of this daemon itself.
struct own_facts
{
    kernel::settings const& settings;
    std::uint64_t incarnation = 0;
    std::uint32_t epoch = 0;
    bool is_draining = false;
};

/// Makes a view. `derived` is brought up to date.
///
/// The view always has a configuration; before the first one is accepted it is an empty one of
/// version 0, so that peers can be addressed and the daemon is not ready.
/// @param sharing_hosts names of the hosts that share the backend servers' slots, own one included.
[[nodiscard]] std::shared_ptr<view::world_view const>
make_view(own_facts const& own,
          config::held_configuration const& held,
          member_table const& members,
          server_table const& servers,
          std::vector<std::string> const& sharing_hosts,
          derived_tables& derived);

} // namespace pistachiohub::membership
