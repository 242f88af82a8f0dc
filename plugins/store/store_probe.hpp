#pragma once

/// @file
/// Which callers of a daemon may call the store while it does not answer. Addresses outages: four
/// readers of kinds and the registration would repeat their calls independently.

#include "kernel/clock.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::store
{

/// What a caller of the store does while other callers find the store away.
enum class caller_role
{
    /// Calls until a call of its own fails, because the store may refuse another kind only.
    reader,
    /// Calls only as a probe.
    writer
};

/// What is known of one caller's calls.
struct probe_caller
{
    caller_role role = caller_role::reader;
    /// Whether its latest call in this outage has failed.
    bool has_failed = false;
    /// Calls that failed since the last answer.
    unsigned failures = 0;
    kernel::boot_time called_at;
    /// After a failure the caller pauses until this time, also when others are answered.
    kernel::boot_time paused_until;
};

/// The calls of all callers of a daemon. A plain value without a clock.
struct probe_state
{
    std::map<std::string, probe_caller, std::less<>> callers;
    /// Whether the latest call that ended has failed, without an answer to another caller since.
    bool is_away = false;
    /// Probes that failed since the last answer.
    unsigned failures = 0;
    kernel::boot_time next_probe_at;
    /// The caller whose probe has not ended; empty if there is none.
    std::string probing;
};

/// @returns the earliest time at which the caller may call the store; the latest time there is
/// while the probe of another caller has not ended. Callers take turns at probes, so that a kind
/// that alone is refused does not keep others from probing.
[[nodiscard]] kernel::boot_time call_permitted_at(probe_state const& state,
                                                  std::string_view caller);

/// Notes that a call begins.
void begin_call(probe_state& state, std::string_view caller, kernel::boot_time now);

/// Notes the end of a call.
/// @param is_answered whether the store answered, be it that an object is missing or has changed.
/// @param random from 0 to 1, so that daemons that failed at the same time do not call at the same
/// time.
/// @returns the callers that can resume, because the outage has ended.
std::vector<std::string> end_call(probe_state& state,
                                  std::string_view caller,
                                  bool is_answered,
                                  double random,
                                  kernel::boot_time now);

/// Shared by the feeds and the registration of a daemon. All calls are thread-safe.
class store_probe
{
public:
    /// @param resume is called, on another caller's thread, when the outage has ended.
    void add(std::string_view caller, caller_role role, std::function<void()> resume);
    void remove(std::string_view caller);

    /// @returns whether the call may begin now; it must be ended by end() then.
    [[nodiscard]] bool try_begin(std::string_view caller, kernel::boot_time now);

    /// Begins a call that cannot wait.
    void begin(std::string_view caller, kernel::boot_time now);

    /// @param is_answered as for end_call().
    /// @param random as for end_call().
    void end(std::string_view caller, bool is_answered, double random, kernel::boot_time now);

    /// @returns call_permitted_at() of the caller.
    [[nodiscard]] kernel::boot_time permitted_at(std::string_view caller) const;

private:
    mutable std::mutex m_mutex;
    probe_state m_state;
    std::map<std::string, std::function<void()>, std::less<>> m_resume;
};

} // namespace pistachiohub::store
