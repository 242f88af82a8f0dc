#include "libraries/http/connection_choice.hpp"

namespace pistachiohub::http
{

namespace
{

using std::chrono::milliseconds;

// Longer than the first request of a new connection is on its way between distant regions.
constexpr auto min_idle_time = milliseconds(500);
// A body of an ordinary caller arrives within this time, or at least a part of it.
constexpr auto min_body_time = milliseconds(1000);
// An ordinary caller takes a part of its answer within this time.
constexpr auto min_unread_time = milliseconds(1000);

// Time for which a connection is not closed; missing if it is never closed.
std::optional<kernel::duration> protected_time(connection_use use)
{
    switch (use)
    {
    case connection_use::ending:
        return kernel::duration{};
    case connection_use::idle:
    case connection_use::receiving_head:
        return min_idle_time;
    case connection_use::receiving_body:
        return min_body_time;
    case connection_use::running:
    case connection_use::sending:
        break;
    }
    return std::nullopt;
}

// The enumerators are in the order in which connections are closed.
bool goes_before(connection_state const& left, connection_state const& right)
{
    return left.use != right.use ? left.use < right.use : left.since < right.since;
}

} // namespace

std::optional<std::size_t>
choose_connection_to_close(std::vector<connection_state> const& connections,
                           kernel::monotonic_time now)
{
    std::optional<std::size_t> chosen;
    for (std::size_t position = 0; position < connections.size(); ++position)
    {
        auto const& one = connections[position];
        auto const protection = protected_time(one.use);
        if (protection && now - one.since >= *protection &&
            (!chosen || goes_before(one, connections[*chosen])))
            chosen = position;
    }
    return chosen;
}

std::optional<std::size_t>
choose_request_to_refuse(std::vector<connection_state> const& connections,
                         kernel::monotonic_time now)
{
    std::optional<std::size_t> chosen;
    for (std::size_t position = 0; position < connections.size(); ++position)
    {
        auto const& one = connections[position];
        if (one.received_bytes > 0 && now - one.received_since >= min_body_time &&
            (!chosen || one.received_bytes > connections[*chosen].received_bytes))
            chosen = position;
    }
    return chosen;
}

std::optional<std::size_t> choose_slow_reader(std::vector<connection_state> const& connections,
                                              kernel::monotonic_time now)
{
    std::optional<std::size_t> chosen;
    for (std::size_t position = 0; position < connections.size(); ++position)
    {
        auto const& one = connections[position];
        if (one.use == connection_use::sending && now - one.since >= min_unread_time &&
            (!chosen || one.unsent_bytes > connections[*chosen].unsent_bytes))
            chosen = position;
    }
    return chosen;
}

} // namespace pistachiohub::http
