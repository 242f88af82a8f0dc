#include "libraries/http/silence_limit.hpp"

#include "kernel/log.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>

namespace pistachiohub::http
{

namespace
{

// Probes without an answer after which a connection is broken.
constexpr int most_probes = 2;
// Longer than an acknowledgement takes between any two hosts.
constexpr std::uint32_t min_silence_ms = 1000;

bool set_option(int socket, int level, int option, int value)
{
    return ::setsockopt(socket, level, option, &value, sizeof(value)) == 0;
}

int to_milliseconds(kernel::duration limit)
{
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
}

bool has_unsent_data(int socket)
{
    int bytes = 0;
    return ::ioctl(socket, SIOCOUTQNSD, &bytes) == 0 && bytes > 0;
}

// Whether sent data, or the probes of a closed receive window, have gone without an acknowledgement
// for longer than a living peer takes.
bool is_silent(int socket)
{
    tcp_info state{};
    socklen_t size = sizeof(state);
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &state, &size) != 0)
        return true;
    return state.tcpi_probes >= most_probes ||
           (state.tcpi_unacked > 0 && state.tcpi_last_ack_recv >= min_silence_ms);
}

} // namespace

void set_silence_limit(int socket, kernel::duration limit)
{
    auto const limit_s = std::chrono::duration_cast<std::chrono::seconds>(limit).count();
    auto const interval_s = std::max<int>(static_cast<int>(limit_s) / (most_probes + 1), 1);
    bool const is_set = set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1) &&
                        set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, interval_s) &&
                        set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, interval_s) &&
                        set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, most_probes) &&
                        set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, to_milliseconds(limit));
    // The connection works without them; only the detection of silence falls back to timeouts.
    if (!is_set)
        kernel::log_event(
            kernel::log_level::warning, "http", "silence_limit_not_set", {{"errno", errno}});
}

bool update_silence_limit(int socket, kernel::duration limit, bool& is_suspended)
{
    bool const is_waiting = has_unsent_data(socket);
    bool const is_to_suspend = is_waiting && !is_silent(socket);
    if (is_to_suspend != is_suspended)
        set_option(
            socket, IPPROTO_TCP, TCP_USER_TIMEOUT, is_to_suspend ? 0 : to_milliseconds(limit));
    is_suspended = is_to_suspend;
    return is_waiting;
}

} // namespace pistachiohub::http
