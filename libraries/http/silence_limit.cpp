#include "libraries/http/silence_limit.hpp"

#include "kernel/log.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace pistachiohub::http
{

namespace
{

// Probes without an answer after which a connection is broken.
constexpr int most_probes = 2;

bool set_option(int socket, int level, int option, int value)
{
    return ::setsockopt(socket, level, option, &value, sizeof(value)) == 0;
}

} // namespace

void set_silence_limit(int socket, kernel::duration limit)
{
    auto const limit_ms = std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
    auto const limit_s = std::chrono::duration_cast<std::chrono::seconds>(limit).count();
    auto const interval_s = std::max<int>(static_cast<int>(limit_s) / (most_probes + 1), 1);
    bool const is_set =
        set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1) &&
        set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, interval_s) &&
        set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, interval_s) &&
        set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, most_probes) &&
        set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit_ms));
    // The connection works without them; only the detection of silence falls back to timeouts.
    if (!is_set)
        kernel::log_event(
            kernel::log_level::warning, "http", "silence_limit_not_set", {{"errno", errno}});
}

} // namespace pistachiohub::http
