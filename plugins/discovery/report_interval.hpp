#pragma once

/// @file
/// How often entry hosts report to the store.

#include <chrono>

namespace pistachiohub::discovery
{

/// Interval between two reports of an entry host. Directories drop a host after about two and a
/// half missed reports.
inline constexpr std::chrono::milliseconds report_interval{1500};

/// Interval between two reports of an entry host that another one reports as its follower. Its own
/// reports only replace an object that was removed by mistake: a host that its reader no longer
/// answers, that has news, or whose report a restored store lacks, reports at once.
inline constexpr std::chrono::milliseconds follower_report_interval{40000};

} // namespace pistachiohub::discovery
