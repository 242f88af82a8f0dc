#pragma once

/// @file
/// Which daemons read the store through this one, and whether this one reads through another.

#include "kernel/clock.hpp"
#include "libraries/fleet/backend_server.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::discovery
{

/// Time after its last question in which a follower counts as running. Followers ask several times
/// in it.
inline constexpr auto follower_silence = std::chrono::milliseconds(900);

/// Shared by the relay, the feeds and the registration. All calls are thread-safe.
class relay_followers
{
public:
    /// Notes a question of another daemon.
    void note_question(fleet::host_incarnation const& asker, kernel::boot_time now);

    /// @returns the daemons that have asked lately.
    [[nodiscard]] std::vector<fleet::host_incarnation> living(kernel::boot_time now);

    /// Notes that another daemon has answered this one, and so knows that it runs.
    void note_answer(kernel::boot_time now);

    /// @returns whether another daemon knows that this one runs.
    [[nodiscard]] bool is_known_to_relay(kernel::boot_time now) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::pair<std::uint64_t, kernel::boot_time>, std::less<>> m_asked;
    std::optional<kernel::boot_time> m_answered_at;
};

/// @returns the name under which a daemon asks for changes of a kind:
/// `<kind>/<host>/<incarnation>`.
[[nodiscard]] std::string asked_kind(std::string_view kind, fleet::host_incarnation const& asker);

} // namespace pistachiohub::discovery
