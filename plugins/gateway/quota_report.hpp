#pragma once

/// @file
/// Encoding of the totals by which hosts share the quotas of customers. The datagrams use the
/// socket of the load exchange and differ from loads by the version.

#include "plugins/quota/quota.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::gateway
{

/// Maximum number of totals in one datagram, so that it fits in one Ethernet frame.
inline constexpr std::size_t max_totals_per_datagram = 72;

/// A report with its sender.
struct quota_report
{
    /// Hash of the sender's name.
    std::uint64_t sender = 0;
    quota::report content;
};

/// @returns whether the datagram has the version of quota reports.
[[nodiscard]] bool is_quota_datagram(std::string_view datagram);

/// @returns datagrams of up to `max_totals_per_datagram` totals each; at least one.
[[nodiscard]] std::vector<std::string> encode_quotas(quota_report const& report);

/// @returns the report of a datagram, or nothing if it is malformed or has another version.
[[nodiscard]] std::optional<quota_report> decode_quotas(std::string_view datagram);

} // namespace pistachiohub::gateway
