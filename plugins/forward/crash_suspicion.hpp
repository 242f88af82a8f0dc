#pragma once

/// @file
/// Detection and quarantine of requests that crash backend servers.

#include "libraries/events/forward_event.hpp"

#include <cstdint>
#include <string_view>

namespace pistachiohub::forward
{

struct step;

/// Records that a backend server broke its connection while it ran a request. All daemons are told,
/// so that the request counts as suspect there too if its caller retries at another daemon. If the
/// record leads to a quarantine, this is logged and announced instead.
void record_crash(step& current,
                  std::uint64_t fingerprint,
                  std::string_view service,
                  std::string_view backend_server);

/// Applies a quarantine, a release or a suspicion that another daemon has announced.
void apply_quarantine_notice(step& current, messages::quarantine_notice const& notice);

/// Releases a fingerprint from quarantine on this daemon and, by a notice, on all others.
void release_fingerprint(step& current, std::uint64_t fingerprint);

} // namespace pistachiohub::forward
