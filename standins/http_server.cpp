#include "standins/http_server.hpp"

#include "libraries/http/message_reader.hpp"
#include "libraries/http/target.hpp"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>

namespace pistachiohub::standins
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace messages = pistachiohub::http;
using asio::ip::tcp;

/// Larger than the platform's largest value, so that the handler can refuse it by name.
constexpr std::uint64_t body_limit = 2U << 20U;
constexpr std::uint32_t header_limit = 8192;

std::vector<std::string> split_text(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty())
    {
        auto const part = text.substr(0, text.find(separator));
        if (!part.empty())
            parts.emplace_back(part);
        text.remove_prefix(std::min(text.size(), part.size() + 1));
    }
    return parts;
}

http_request make_request(messages::message_head const& head, std::string&& body)
{
    http_request result;
    result.method = head.method;
    auto const& target = head.target;
    auto const question_mark = target.find('?');
    result.path = target.substr(0, question_mark);
    if (question_mark != std::string::npos)
    {
        for (auto const& pair : split_text(target.substr(question_mark + 1), '&'))
        {
            auto const equals = pair.find('=');
            if (equals != std::string::npos)
                result.query[pair.substr(0, equals)] = pair.substr(equals + 1);
        }
    }
    for (auto const& [name, value] : head.headers)
        result.headers[boost::to_lower_copy(name)] = value;
    result.body = std::move(body);
    return result;
}

class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket socket, http_handler handle, std::shared_ptr<std::size_t> open)
        : m_stream(std::move(socket))
        , m_handle(std::move(handle))
        , m_open(std::move(open))
    {
        ++*m_open;
        beast::error_code ignored;
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
    }

    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    ~connection()
    {
        --*m_open;
    }

    void read()
    {
        m_parser.emplace(messages::parser_limits{header_limit, body_limit});
        messages::async_read_message(m_stream,
                                     m_buffer,
                                     *m_parser,
                                     [self = shared_from_this()](beast::error_code failure)
                                     {
                                         if (!failure)
                                             self->answer_request();
                                     });
    }

private:
    void answer_request()
    {
        m_is_kept_alive = m_parser->keep_alive();
        m_handle(make_request(m_parser->head(), std::move(m_parser->body())),
                 [self = shared_from_this()](http_response response)
                 {
                     self->write(std::move(response));
                 });
    }

    void write(http_response response)
    {
        if (response.is_lost)
        {
            close();
            return;
        }
        m_response = {};
        m_response.version(11);
        m_response.result(response.status);
        m_response.set(http::field::content_type, "application/json");
        for (auto const& [name, value] : response.headers)
            m_response.set(name, value);
        m_response.body() = std::move(response.body);
        m_response.keep_alive(m_is_kept_alive);
        m_response.prepare_payload();
        http::async_write(m_stream,
                          m_response,
                          [self = shared_from_this()](beast::error_code failure, std::size_t)
                          {
                              if (!failure && self->m_is_kept_alive)
                                  self->read();
                              else
                                  self->close();
                          });
    }

    void close()
    {
        beast::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        m_stream.socket().close(ignored);
    }

    beast::tcp_stream m_stream;
    http_handler m_handle;
    std::shared_ptr<std::size_t> m_open;
    beast::flat_buffer m_buffer;
    std::optional<messages::request_parser> m_parser;
    http::response<http::string_body> m_response;
    bool m_is_kept_alive = true;
};

} // namespace

std::string http_request::header(std::string const& name) const
{
    auto const found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

struct http_server::implementation : std::enable_shared_from_this<implementation>
{
    implementation(asio::io_context& context, std::size_t limit, http_handler own_handler)
        : acceptor(context)
        , connection_limit(limit)
        , handle(std::move(own_handler))
    {
    }

    void listen(std::uint16_t port)
    {
        tcp::endpoint const address(asio::ip::address_v4::loopback(), port);
        beast::error_code failure;
        acceptor.open(address.protocol(), failure);
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
        acceptor.bind(address, failure);
        if (!failure)
            acceptor.listen(asio::socket_base::max_listen_connections, failure);
        if (failure)
            throw listen_error("cannot listen on 127.0.0.1:" + std::to_string(port) + ": " +
                               failure.message());
    }

    void accept()
    {
        acceptor.async_accept(
            [self = shared_from_this()](beast::error_code failure, tcp::socket socket)
            {
                if (!self->acceptor.is_open())
                    return;
                if (!failure && *self->open_connections < self->connection_limit)
                    std::make_shared<connection>(
                        std::move(socket), self->handle, self->open_connections)
                        ->read();
                self->accept();
            });
    }

    tcp::acceptor acceptor;
    std::size_t connection_limit;
    http_handler handle;
    std::shared_ptr<std::size_t> open_connections = std::make_shared<std::size_t>(0);
};

http_server::http_server(kernel::event_loop& loop,
                         std::uint16_t port,
                         std::size_t connection_limit,
                         http_handler handle)
    : m_implementation(
          std::make_shared<implementation>(loop.context(), connection_limit, std::move(handle)))
{
    m_implementation->listen(port);
    m_implementation->accept();
}

http_server::~http_server()
{
    beast::error_code ignored;
    m_implementation->acceptor.close(ignored);
}

std::uint16_t http_server::port() const
{
    return m_implementation->acceptor.local_endpoint().port();
}

std::vector<std::string> split_path(std::string_view path)
{
    auto parts = split_text(path, '/');
    for (auto& part : parts)
        part = pistachiohub::http::decode_target_part(part);
    return parts;
}

} // namespace pistachiohub::standins
