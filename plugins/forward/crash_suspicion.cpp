#include "plugins/forward/crash_suspicion.hpp"

#include "plugins/forward/step.hpp"

#include <algorithm>

namespace pistachiohub::forward
{

namespace
{

constexpr auto quarantine_ms = static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(retry::quarantine_time).count());

void announce_quarantine(step& current,
                         std::uint64_t fingerprint,
                         std::string_view service,
                         std::string_view backend_server)
{
    add_log_entry(current,
                  kernel::log_level::warning,
                  "request_quarantined",
                  {{"fingerprint", std::to_string(fingerprint)},
                   {"service", std::string(service)},
                   {"backend_server", std::string(backend_server)}});
    broadcast(current, messages::quarantine_notice{fingerprint, quarantine_ms, true, {}});
}

/// Tells all daemons which backend server broke a connection during the request. A fingerprint that
/// is already quarantined is not announced again.
void announce_suspicion(step& current, std::uint64_t fingerprint, std::string_view backend_server)
{
    if (retry::is_quarantined(current.state.quarantine, fingerprint, current.now))
        return;
    broadcast(current,
              messages::quarantine_notice{
                  fingerprint, quarantine_ms, false, std::string(backend_server)});
}

/// Records a broken connection that another daemon has reported. Two broken connections that lead
/// to a quarantine may have been seen by different daemons; the one that learns of both announces
/// it.
void apply_suspicion(step& current, messages::quarantine_notice const& notice)
{
    if (notice.backend_server.empty())
        return;
    auto const is_newly_quarantined = retry::record_connection_loss(
        current.state.quarantine, notice.fingerprint, notice.backend_server, current.now);
    if (is_newly_quarantined)
        announce_quarantine(current, notice.fingerprint, {}, notice.backend_server);
}

} // namespace

void record_crash(step& current,
                  std::uint64_t fingerprint,
                  std::string_view service,
                  std::string_view backend_server)
{
    auto const is_newly_quarantined = retry::record_connection_loss(
        current.state.quarantine, fingerprint, backend_server, current.now);
    if (is_newly_quarantined)
        announce_quarantine(current, fingerprint, service, backend_server);
    else
        announce_suspicion(current, fingerprint, backend_server);
}

void apply_quarantine_notice(step& current, messages::quarantine_notice const& notice)
{
    if (!notice.is_quarantined && notice.remaining_ms > 0)
    {
        apply_suspicion(current, notice);
        return;
    }
    // Limits the time, so that a faulty notice cannot quarantine a request for longer than this
    // daemon would.
    auto const remaining = std::min(notice.remaining_ms, quarantine_ms);
    retry::set_quarantined(current.state.quarantine,
                           notice.fingerprint,
                           notice.is_quarantined,
                           current.now,
                           current.now + std::chrono::milliseconds(remaining));
    add_log_entry(current,
                  kernel::log_level::info,
                  notice.is_quarantined ? "quarantine_received" : "quarantine_release_received",
                  {{"fingerprint", std::to_string(notice.fingerprint)}});
}

void release_fingerprint(step& current, std::uint64_t fingerprint)
{
    retry::set_quarantined(current.state.quarantine, fingerprint, false, current.now, {});
    add_log_entry(current,
                  kernel::log_level::info,
                  "quarantine_released",
                  {{"fingerprint", std::to_string(fingerprint)}});
    broadcast(current, messages::quarantine_notice{fingerprint, 0, false, {}});
}

} // namespace pistachiohub::forward
