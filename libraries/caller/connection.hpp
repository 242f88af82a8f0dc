#pragma once

/// @file
/// One HTTP exchange with an entry host, which says whether any byte was sent.

#include "kernel/clock.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachiohub::caller
{

/// How an exchange ended.
enum class exchange_end
{
    answered,
    /// The connection could not be made, so no byte was sent.
    never_sent,
    /// The connection ended after bytes may have been sent and before a whole answer.
    lost,
    /// No whole answer came in time.
    timed_out
};

/// A request to an entry host.
struct exchange_request
{
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// The end of an exchange.
struct exchange_result
{
    exchange_end end = exchange_end::never_sent;
    unsigned status = 0;
    /// Values of `Pistachiohub-Request-Id`, `Pistachiohub-Outcome` and `Pistachiohub-Reason`.
    std::string request_id;
    std::string outcome;
    std::string reason;
    std::string body;
};

/// Keeps one connection to each entry host; not thread-safe.
class connection_pool
{
public:
    connection_pool();
    ~connection_pool();
    connection_pool(connection_pool const&) = delete;
    connection_pool& operator=(connection_pool const&) = delete;

    /// Sends a request and waits for the whole answer.
    ///
    /// A connection on which an exchange did not end with a whole answer is closed, so a late
    /// answer never meets a later request.
    /// @param timeout for the whole exchange, connecting included.
    exchange_result exchange(std::string const& address,
                             std::uint16_t port,
                             exchange_request const& request,
                             kernel::duration timeout);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace pistachiohub::caller
