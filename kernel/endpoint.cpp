#include "kernel/endpoint.hpp"

#include <boost/asio/ip/address.hpp>

namespace pistachiohub::kernel
{

bool is_host_address(std::string_view text)
{
    boost::system::error_code failure;
    auto const address = boost::asio::ip::make_address(text, failure);
    bool const is_broadcast =
        address.is_v4() && address.to_v4() == boost::asio::ip::address_v4::broadcast();
    return !failure && !address.is_unspecified() && !address.is_multicast() && !is_broadcast;
}

} // namespace pistachiohub::kernel
