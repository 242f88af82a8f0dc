#pragma once

/// @file
/// How many connections one address may have at the peer port. Load pattern: one host opens many
/// connections and begins a large message on each, for which the transport reserves memory before
/// the daemon can check who sent it.

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>

namespace pistachiohub::peer
{

/// The accepted connections by their address. Not synchronized.
struct pipe_limit
{
    std::map<std::string, std::size_t, std::less<>> count_of_address;
    std::unordered_map<int, std::string> address_of_pipe;
};

/// A daemon dials each peer once. Several daemons on one machine, as in the demonstrations, and
/// connections that their restarted processes have not closed yet stay below this number.
inline constexpr std::size_t max_pipes_of_address = 16;

/// Counts a connection.
/// @returns whether it is permitted; another one of its address is to be closed.
[[nodiscard]] bool add_pipe(pipe_limit& limit, int pipe, std::string const& address);

/// Forgets a connection that has ended; ignored if it was not permitted.
void remove_pipe(pipe_limit& limit, int pipe);

} // namespace pistachiohub::peer
