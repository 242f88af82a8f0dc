#include "plugins/forward/crash_suspicion.hpp"

#include "plugins/forward/step.hpp"

#include <algorithm>

namespace pistachiohub::forward
{

namespace
{

constexpr auto quarantine_ms = static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(retry::quarantine_time).count());

} // namespace

void record_crash(step& current,
                  std::uint64_t fingerprint,
                  std::string_view service,
                  std::string_view backend_server)
{
    auto const is_new =
        retry::record_broken(current.state.quarantine, fingerprint, backend_server, current.now);
    if (!is_new)
        return;
    note(current,
         kernel::log_level::warning,
         "request_quarantined",
         {{"fingerprint", std::to_string(fingerprint)},
          {"service", std::string(service)},
          {"backend_server", std::string(backend_server)}});
    emit_to_all(current, messages::quarantine_notice{fingerprint, quarantine_ms, true});
}

void apply_notice(step& current, messages::quarantine_notice const& notice)
{
    // A sender's mistake must not quarantine a request for longer than this daemon would.
    auto const remaining = std::min(notice.remaining_ms, quarantine_ms);
    retry::set_quarantined(current.state.quarantine,
                           notice.fingerprint,
                           notice.is_quarantined,
                           current.now + std::chrono::milliseconds(remaining));
    note(current,
         kernel::log_level::info,
         notice.is_quarantined ? "quarantine_received" : "quarantine_release_received",
         {{"fingerprint", std::to_string(notice.fingerprint)}});
}

void release_fingerprint(step& current, std::uint64_t fingerprint)
{
    retry::set_quarantined(current.state.quarantine, fingerprint, false, current.now);
    note(current,
         kernel::log_level::info,
         "quarantine_released",
         {{"fingerprint", std::to_string(fingerprint)}});
    emit_to_all(current, messages::quarantine_notice{fingerprint, 0, false});
}

} // namespace pistachiohub::forward
