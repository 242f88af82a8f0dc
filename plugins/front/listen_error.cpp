#include "plugins/front/listen_error.hpp"

namespace pistachiohub::front
{

listen_error::listen_error(std::string const& address, std::uint16_t port, std::string const& cause)
    : error("cannot listen for callers on " + address + " port " + std::to_string(port) + ": " +
            cause)
{
}

} // namespace pistachiohub::front
