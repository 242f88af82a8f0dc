#include "kernel/bounded_output.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace pistachiohub::kernel
{

bounded_output::bounded_output(int descriptor)
    : m_descriptor(descriptor)
{
}

bool bounded_output::has_room() const
{
    pollfd wanted{m_descriptor, POLLOUT, 0};
    return ::poll(&wanted, 1, 0) == 1 && (wanted.revents & POLLOUT) != 0;
}

void bounded_output::write(std::string_view line)
{
    if (m_pending.size() + line.size() > most_pending_output)
    {
        ++m_dropped;
        flush();
        return;
    }
    if (m_dropped > m_reported)
    {
        m_pending += "level=WARN event=log_lines_dropped total=" + std::to_string(m_dropped) + '\n';
        m_reported = m_dropped;
    }
    m_pending.append(line);
    flush();
}

void bounded_output::flush()
{
    // A pipe that is ready for writing takes PIPE_BUF bytes without waiting.
    while (!m_pending.empty() && has_room())
    {
        auto const size = std::min<std::size_t>(m_pending.size(), PIPE_BUF);
        auto const written = ::write(m_descriptor, m_pending.data(), size);
        if (written <= 0)
            return;
        m_pending.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace pistachiohub::kernel
