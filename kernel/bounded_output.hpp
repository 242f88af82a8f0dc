#pragma once

/// @file
/// Writes lines to a file descriptor without ever waiting for its reader.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiohub::kernel
{

/// Bytes that wait for a slow reader before lines are dropped.
inline constexpr std::size_t most_pending_output = std::size_t{256} * 1024;

/// Lines for one file descriptor. Calls are made by one thread at a time.
class bounded_output
{
public:
    explicit bounded_output(int descriptor);

    /// Writes a line with its line feed, keeps it until the reader has room, or drops it.
    void write(std::string_view line);

    /// Writes what waits, as far as the reader has room.
    void flush();

    /// @returns lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped_lines() const
    {
        return m_dropped;
    }

private:
    [[nodiscard]] bool has_room() const;

    int m_descriptor;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0;
};

} // namespace pistachiohub::kernel
