#include "libraries/caller/connection.hpp"

#include "libraries/http/answer_limits.hpp"
#include "libraries/http/message_reader.hpp"
#include "libraries/http/status.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>

#include <map>
#include <optional>

namespace pistachiohub::caller
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using pistachiohub::http::answer_parser;
using pistachiohub::http::message_head;

/// An idle connection may have been closed by the entry host; a new one proves that it still
/// listens.
constexpr auto longest_idle_time = std::chrono::milliseconds(500);
constexpr std::uint32_t header_limit = 8192;
constexpr std::uint64_t answer_limit = 4U << 20U;

struct open_connection
{
    explicit open_connection(asio::io_context& context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer{pistachiohub::http::max_unparsed_bytes};
    kernel::monotonic_time used_at;
};

std::string make_request(std::string const& address, exchange_request const& request)
{
    std::vector<pistachiohub::http::header> headers{{"Host", address}};
    for (auto const& [name, value] : request.headers)
        headers.push_back({name, value});
    return pistachiohub::http::serialize_request(
        request.method, request.target, headers, request.body);
}

exchange_result make_result(message_head const& head, std::string&& body)
{
    auto const value_of = [&head](std::string_view name)
    {
        return std::string(pistachiohub::http::find_header(head.headers, name).value_or(""));
    };
    exchange_result result;
    result.end = exchange_end::answered;
    result.status = head.status;
    result.request_id = value_of("Pistachiohub-Request-Id");
    result.outcome = value_of("Pistachiohub-Outcome");
    result.reason = value_of("Pistachiohub-Reason");
    result.body = std::move(body);
    return result;
}

exchange_result failed(exchange_end end)
{
    exchange_result result;
    result.end = end;
    return result;
}

} // namespace

struct connection_pool::implementation
{
    using key = std::pair<std::string, std::uint16_t>;

    // Runs the operation that `start` begins to its end; the stream's timer bounds it.
    template<class Start>
    beast::error_code wait(Start start)
    {
        beast::error_code result = asio::error::would_block;
        start(
            [&result](beast::error_code failure, auto const&...)
            {
                result = failure;
            });
        context.restart();
        context.run();
        return result;
    }

    std::unique_ptr<open_connection> take(key const& target)
    {
        auto const found = connections.find(target);
        if (found == connections.end())
            return nullptr;
        auto connection = std::move(found->second);
        connections.erase(found);
        if (kernel::monotonic_now() - connection->used_at > longest_idle_time)
            return nullptr;
        return connection;
    }

    std::unique_ptr<open_connection> connect(key const& target, kernel::duration timeout)
    {
        beast::error_code failure;
        auto const address = asio::ip::make_address(target.first, failure);
        if (failure)
            return nullptr;
        auto connection = std::make_unique<open_connection>(context);
        connection->stream.expires_after(timeout);
        failure = wait(
            [&](auto handler)
            {
                connection->stream.async_connect(tcp::endpoint(address, target.second), handler);
            });
        if (failure)
            return nullptr;
        connection->stream.socket().set_option(tcp::no_delay(true), failure);
        return connection;
    }

    // Returns nothing on success.
    std::optional<exchange_end>
    transfer(open_connection& connection, std::string const& request, answer_parser& parser)
    {
        auto failure = wait(
            [&](auto handler)
            {
                asio::async_write(connection.stream, asio::buffer(request), handler);
            });
        if (!failure)
        {
            failure = wait(
                [&](auto handler)
                {
                    pistachiohub::http::async_read_message(
                        connection.stream, connection.buffer, parser, handler);
                });
        }
        if (!failure)
            return std::nullopt;
        return failure == beast::error::timeout ? exchange_end::timed_out : exchange_end::lost;
    }

    asio::io_context context{1};
    std::map<key, std::unique_ptr<open_connection>> connections;
};

connection_pool::connection_pool()
    : m_implementation(std::make_unique<implementation>())
{
}

connection_pool::~connection_pool() = default;

exchange_result connection_pool::exchange(std::string const& address,
                                          std::uint16_t port,
                                          exchange_request const& request,
                                          kernel::duration timeout)
{
    auto const deadline = kernel::monotonic_now() + timeout;
    implementation::key const target{address, port};
    auto connection = m_implementation->take(target);
    if (!connection)
        connection = m_implementation->connect(target, timeout);
    if (!connection)
        return failed(exchange_end::never_sent);
    auto const prepared = make_request(address, request);
    answer_parser parser({header_limit, answer_limit});
    connection->stream.expires_at(deadline);
    if (auto const failure = m_implementation->transfer(*connection, prepared, parser))
        return failed(*failure);
    auto const& head = parser.head();
    if (!pistachiohub::http::is_final_status(head.status))
        return failed(exchange_end::lost);
    auto result = make_result(head, std::move(parser.body()));
    if (parser.keep_alive())
    {
        connection->stream.expires_never();
        connection->used_at = kernel::monotonic_now();
        m_implementation->connections[target] = std::move(connection);
    }
    return result;
}

} // namespace pistachiohub::caller
