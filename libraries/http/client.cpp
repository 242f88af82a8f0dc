#include "libraries/http/client.hpp"

#include "libraries/http/answer_limits.hpp"
#include "libraries/http/message_reader.hpp"
#include "libraries/http/silence_limit.hpp"
#include "libraries/http/status.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <atomic>

namespace pistachiohub::http
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;

// Interim answers before the final one, after which the connection is closed.
constexpr unsigned max_interim_answers = 8;
constexpr std::uint32_t largest_header_bytes = 8192;

std::string to_text(request const& wanted, std::string const& host)
{
    std::vector<header> headers{{"Host", host}};
    headers.insert(headers.end(), wanted.headers.begin(), wanted.headers.end());
    return serialize_request(wanted.method, wanted.target, headers, wanted.body);
}

response to_response(answer_parser& parser)
{
    return {parser.head().status, std::move(parser.head().headers), std::move(parser.body())};
}

} // namespace

std::optional<std::string> response::find_header(std::string_view name) const
{
    auto const value = http::find_header(headers, name);
    return value ? std::optional<std::string>(*value) : std::nullopt;
}

struct client::implementation
{
    implementation(std::string server_address, std::uint16_t server_port, client_limits own_limits)
        : address(std::move(server_address))
        , port(server_port)
        , limits(own_limits)
        , stream(context)
    {
    }

    std::string address;
    std::uint16_t port;
    client_limits limits;
    asio::io_context context;
    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_unparsed_bytes};
    std::atomic<bool> is_cancelled{false};

    // Runs one asynchronous operation to its end on the calling thread. A close posted by cancel()
    // runs here too and aborts the operation.
    template<class Initiate>
    boost::system::error_code await(Initiate&& initiate)
    {
        boost::system::error_code result;
        initiate(result);
        context.restart();
        context.run();
        return result;
    }

    void refuse_when_cancelled()
    {
        if (is_cancelled.load())
            throw cancelled("the exchange with " + address + " was cancelled");
    }

    void close()
    {
        boost::system::error_code ignored;
        stream.socket().close(ignored);
        buffer.clear();
    }

    // A server may close an idle connection; detecting that before sending keeps a request that
    // must not be repeated from being lost.
    [[nodiscard]] bool is_usable()
    {
        if (!stream.socket().is_open())
            return false;
        char byte = 0;
        auto const received =
            ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    void connect(kernel::monotonic_time deadline)
    {
        close();
        boost::system::error_code failure;
        auto const ip_address = asio::ip::make_address(address, failure);
        if (failure)
            throw never_sent(address + " is not an IP address");
        stream.expires_at(std::min(kernel::monotonic_now() + limits.connect_timeout, deadline));
        failure = await(
            [&](boost::system::error_code& result)
            {
                stream.async_connect(asio::ip::tcp::endpoint(ip_address, port),
                                     [&result](boost::system::error_code code)
                                     {
                                         result = code;
                                     });
            });
        refuse_when_cancelled();
        if (failure)
        {
            close();
            throw never_sent("cannot connect to " + address + ':' + std::to_string(port) + ": " +
                             failure.message());
        }
        // Small requests must not wait for the acknowledgement of an earlier one.
        stream.socket().set_option(asio::ip::tcp::no_delay(true), failure);
        set_silence_limit(stream.socket().native_handle(), limits.silence_limit);
    }

    [[noreturn]] void fail(boost::system::error_code failure, std::string_view step)
    {
        close();
        refuse_when_cancelled();
        auto const text = std::string(step) + ' ' + address + ':' + std::to_string(port) + ": " +
                          failure.message();
        if (failure == beast::error::timeout)
            throw timed_out(text);
        if (failure == beast::http::error::body_limit)
            throw too_large(text);
        throw lost_answer(text);
    }

    void write(std::string const& text)
    {
        std::size_t sent = 0;
        auto const failure = await(
            [&](boost::system::error_code& result)
            {
                asio::async_write(
                    stream,
                    asio::buffer(text),
                    [&result, &sent](boost::system::error_code code, std::size_t bytes)
                    {
                        result = code;
                        sent = bytes;
                    });
            });
        if (!failure)
            return;
        if (sent == 0 && !is_cancelled.load())
        {
            close();
            throw never_sent("cannot send to " + address + ": " + failure.message());
        }
        fail(failure, "sending was interrupted to");
    }

    void read_answer(answer_parser& parser)
    {
        auto const failure = await(
            [&](boost::system::error_code& result)
            {
                async_read_message(stream,
                                   buffer,
                                   parser,
                                   [&result](boost::system::error_code code)
                                   {
                                       result = code;
                                   });
            });
        if (failure)
            fail(failure, "no whole answer from");
    }

    response read()
    {
        std::optional<answer_parser> parser;
        response result;
        unsigned interim_answers = 0;
        do
        {
            parser.emplace(parser_limits{largest_header_bytes, limits.largest_answer});
            read_answer(*parser);
            result = to_response(*parser);
        } while (is_interim_status(result.status) && ++interim_answers <= max_interim_answers);
        if (!is_final_status(result.status))
            fail(beast::http::error::bad_status, "no final answer from");
        bool const is_kept = parser->keep_alive();
        if (!is_kept || buffer.size() != 0)
            close();
        return result;
    }

    response exchange(std::string const& text,
                      kernel::duration read_timeout,
                      kernel::monotonic_time deadline)
    {
        refuse_when_cancelled();
        if (!is_usable())
            connect(deadline);
        stream.expires_at(std::min(kernel::monotonic_now() + read_timeout, deadline));
        write(text);
        return read();
    }
};

client::client(std::string address, std::uint16_t port, client_limits limits)
    : m_implementation(std::make_unique<implementation>(std::move(address), port, limits))
{
}

client::~client() = default;

response client::send(request const& wanted)
{
    return send(wanted, m_implementation->limits.read_timeout);
}

response client::send(request const& wanted, kernel::duration read_timeout)
{
    auto& own = *m_implementation;
    auto const text = to_text(wanted, own.address + ':' + std::to_string(own.port));
    bool const is_open = own.is_usable();
    bool const may_repeat = wanted.method == "GET" && is_open;
    auto const deadline = kernel::monotonic_now() + read_timeout +
                          (is_open ? kernel::duration{} : own.limits.connect_timeout);
    try
    {
        return own.exchange(text, read_timeout, deadline);
    }
    catch (timed_out const&)
    {
        throw;
    }
    catch (cancelled const&)
    {
        throw;
    }
    catch (too_large const&)
    {
        throw;
    }
    catch (http_error const&)
    {
        if (!may_repeat)
            throw;
    }
    return own.exchange(text, read_timeout, deadline);
}

void client::disconnect()
{
    m_implementation->close();
}

void client::cancel()
{
    m_implementation->is_cancelled.store(true);
    asio::post(m_implementation->context,
               [own = m_implementation.get()]()
               {
                   own->close();
               });
}

} // namespace pistachiohub::http
