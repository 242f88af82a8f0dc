#include "libraries/http/server.hpp"

#include "kernel/log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <chrono>
#include <optional>

namespace pistachiohub::http
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

constexpr std::uint32_t largest_header_bytes = 8192;
// A patch holds at most one megabyte, plus the members around it.
constexpr std::uint64_t largest_body_bytes = 1'100'000;
constexpr auto idle_timeout = std::chrono::seconds(30);
// Time for the sender of a refused request to finish sending.
constexpr auto linger_timeout = std::chrono::seconds(2);
constexpr auto accept_retry = std::chrono::milliseconds(100);
constexpr std::size_t most_connections = 128;

struct shared_state
{
    request_handler handle;
    kernel::metrics& counters;
    std::string refusal_counter;
    std::size_t connections = 0;
};

class session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, std::shared_ptr<shared_state> state)
        : m_stream(std::move(socket))
        , m_state(std::move(state))
    {
        ++m_state->connections;
    }

    session(session const&) = delete;
    session& operator=(session const&) = delete;

    ~session()
    {
        --m_state->connections;
    }

    void read()
    {
        m_parser.emplace();
        m_parser->header_limit(largest_header_bytes);
        m_parser->body_limit(largest_body_bytes);
        m_stream.expires_after(idle_timeout);
        beast::http::async_read(
            m_stream,
            m_buffer,
            *m_parser,
            [self = shared_from_this()](boost::system::error_code failure, std::size_t)
            {
                self->on_read(failure);
            });
    }

private:
    void on_read(boost::system::error_code failure)
    {
        if (failure)
        {
            refuse(failure);
            return;
        }
        auto message = m_parser->release();
        m_is_kept = message.keep_alive();
        std::string const target(message.target());
        auto const query = target.find('?');
        server_request wanted;
        wanted.method = message.method_string();
        wanted.path = target.substr(0, query);
        wanted.query = query == std::string::npos ? "" : target.substr(query + 1);
        wanted.authorization = message[beast::http::field::authorization];
        wanted.body = std::move(message.body());
        // The answer of the store may take longer than an idle connection is kept.
        m_stream.expires_never();
        m_state->handle(wanted,
                        [self = shared_from_this()](server_reply answer)
                        {
                            self->write(std::move(answer));
                        });
    }

    void refuse(boost::system::error_code failure)
    {
        using beast::http::error;
        if (failure == error::end_of_stream || failure == error::partial_message ||
            failure.category() != beast::http::make_error_code(error::bad_target).category())
            return;
        m_is_kept = false;
        if (failure == error::body_limit)
            refuse_with(413, "body_too_large");
        else if (failure == error::header_limit)
            refuse_with(431, "header_too_large");
        else
            refuse_with(400, "malformed_http");
    }

    void refuse_with(unsigned status, std::string_view reason)
    {
        m_state->counters.find_counter(m_state->refusal_counter, {"reason", reason}).increment();
        write({status, "{\"reason\":\"" + std::string(reason) + "\"}"});
    }

    void write(server_reply answer)
    {
        m_response = {};
        m_response.version(11);
        m_response.result(answer.status);
        m_response.set(beast::http::field::content_type, answer.content_type);
        m_response.keep_alive(m_is_kept);
        m_response.body() = std::move(answer.body);
        m_response.prepare_payload();
        m_stream.expires_after(idle_timeout);
        beast::http::async_write(
            m_stream,
            m_response,
            [self = shared_from_this()](boost::system::error_code failure, std::size_t)
            {
                self->on_write(failure);
            });
    }

    void on_write(boost::system::error_code failure)
    {
        if (!failure && m_is_kept)
        {
            read();
            return;
        }
        boost::system::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        m_stream.expires_after(linger_timeout);
        discard();
    }

    // Closing with unread bytes resets the connection, and the sender of an oversize body would
    // lose the refusal.
    void discard()
    {
        m_stream.async_read_some(
            boost::asio::buffer(m_discarded),
            [self = shared_from_this()](boost::system::error_code failure, std::size_t)
            {
                if (!failure)
                    self->discard();
            });
    }

    beast::tcp_stream m_stream;
    std::shared_ptr<shared_state> m_state;
    beast::flat_buffer m_buffer;
    std::optional<beast::http::request_parser<beast::http::string_body>> m_parser;
    beast::http::response<beast::http::string_body> m_response;
    std::array<char, 4096> m_discarded{};
    bool m_is_kept = false;
};

} // namespace

struct server::implementation
{
    implementation(kernel::event_loop& own_loop, std::shared_ptr<shared_state> own_state)
        : loop(own_loop)
        , acceptor(own_loop.context())
        , state(std::move(own_state))
    {
    }

    void listen(std::string const& address, std::uint16_t wanted_port)
    {
        try
        {
            tcp::endpoint const endpoint(asio::ip::make_address(address), wanted_port);
            acceptor.open(endpoint.protocol());
            acceptor.set_option(tcp::acceptor::reuse_address(true));
            acceptor.bind(endpoint);
            acceptor.listen();
        }
        catch (boost::system::system_error const& failure)
        {
            throw listen_error("cannot listen on " + address + ':' + std::to_string(wanted_port) +
                               ": " + failure.what());
        }
    }

    void accept()
    {
        acceptor.async_accept(
            [this](boost::system::error_code failure, tcp::socket socket)
            {
                if (failure == asio::error::operation_aborted)
                    return;
                if (failure)
                {
                    // For example, no file descriptor is free; trying at once would spin.
                    loop.after(accept_retry,
                               [this]()
                               {
                                   accept();
                               });
                    return;
                }
                if (state->connections < most_connections)
                    std::make_shared<session>(std::move(socket), state)->read();
                else
                    state->counters.find_counter(state->refusal_counter, {"reason", "connections"})
                        .increment();
                accept();
            });
    }

    kernel::event_loop& loop;
    tcp::acceptor acceptor;
    std::shared_ptr<shared_state> state;
};

server::server(kernel::event_loop& loop,
               kernel::metrics& counters,
               std::string refusal_counter,
               kernel::endpoint const& own,
               request_handler handle)
    : m_implementation(std::make_unique<implementation>(
          loop,
          std::make_shared<shared_state>(
              shared_state{std::move(handle), counters, std::move(refusal_counter)})))
{
    m_implementation->listen(own.address, own.port);
    m_implementation->accept();
}

server::~server() = default;

} // namespace pistachiohub::http
