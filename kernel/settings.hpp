#pragma once

/// @file
/// Settings of one daemon, read once at its start.

#include "kernel/error.hpp"
#include "kernel/gateway_settings.hpp"
#include "kernel/log.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::kernel
{

/// Another daemon that is known before the host list is read.
struct seed_peer
{
    std::string name;
    std::string failure_domain;
    std::string address;
    std::uint16_t peer_port = 0;
};

/// Settings of one daemon. It runs either the request interface of its own, which takes ports, keys
/// and seed peers, or the gateway.
struct settings
{
    /// Name of the entry host, unique in the fleet.
    std::string name;
    std::string failure_domain;
    /// IP address on which all ports are served.
    std::string address;
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    std::uint16_t admin_port = 0;
    /// The platform's object API.
    endpoint store;
    /// Shared key that authenticates messages between daemons.
    std::string peer_key;
    /// Bearer token for the operator API.
    std::string admin_key;
    std::vector<seed_peer> seed_peers;
    std::optional<gateway_settings> gateway;
    log_level lowest_log_level = log_level::info;
};

/// A settings file is not valid.
class settings_error : public error
{
public:
    /// @param key the offending key, with its path.
    /// @param value its value as JSON text.
    /// @param permitted what is permitted.
    settings_error(std::string_view key, std::string_view value, std::string_view permitted);
};

/// Parses and checks settings. Unknown keys are refused.
/// @param text a JSON object.
/// @throws settings_error naming the key, its value and what is permitted.
[[nodiscard]] settings parse_settings(std::string_view text);

} // namespace pistachiohub::kernel
