#include "plugins/memory/server_bytes.hpp"

namespace pistachiohub::memory
{

bool has_room(std::size_t in_flight, std::size_t request_bytes, std::size_t limit)
{
    auto const added = counted_bytes(request_bytes);
    return added == 0 || in_flight == 0 || (in_flight <= limit && added <= limit - in_flight);
}

std::size_t counted_bytes(std::size_t request_bytes)
{
    return request_bytes <= small_request_bytes ? 0 : request_bytes;
}

} // namespace pistachiohub::memory
