#pragma once

/// @file
/// Suspicion of requests that break backend servers, and the notices of their quarantine.

#include "libraries/events/forward_event.hpp"

#include <cstdint>
#include <string_view>

namespace pistachiohub::forward
{

struct step;

/// Notes that a backend server broke its connection while it ran a request. All daemons are told of
/// the suspicion, so that a caller that tries again at another one meets it there, or of the
/// quarantine that it causes, which is logged.
void record_crash(step& current,
                  std::uint64_t fingerprint,
                  std::string_view service,
                  std::string_view backend_server);

/// Applies the notice of another daemon.
void apply_notice(step& current, messages::quarantine_notice const& notice);

/// Releases a fingerprint here and at all daemons.
void release_fingerprint(step& current, std::uint64_t fingerprint);

} // namespace pistachiohub::forward
