#include "plugins/backend/server_connection.hpp"

#include "libraries/http/answer_limits.hpp"
#include "libraries/http/message_reader.hpp"
#include "libraries/http/status.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace pistachiohub::backend
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace messages = pistachiohub::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t largest_header_block = 8192;

void add_value(std::string& joined, std::string_view value)
{
    if (!joined.empty())
        joined += ',';
    joined.append(value);
}

server_answer make_answer(messages::answer_parser& parser)
{
    server_answer answer;
    answer.has_content_length = parser.content_length().has_value();
    auto const head = parser.head();
    answer.status = head.status;
    for (auto const& [name, value] : head.headers)
    {
        if (messages::is_same_header_name(name, "Request-Id"))
            add_value(answer.request_id, value);
        else if (messages::is_same_header_name(name, "Attempt"))
            add_value(answer.attempt, value);
        else if (messages::is_same_header_name(name, "Not-Started"))
            add_value(answer.not_started, value);
        else if (messages::is_same_header_name(name, "Server-State"))
            add_value(answer.server_state, value);
        else if (messages::is_same_header_name(name, "Load"))
            add_value(answer.load, value);
    }
    answer.body = std::move(parser.body());
    return answer;
}

std::string make_request(server_request const& request,
                         std::string const& host,
                         kernel::monotonic_time deadline)
{
    std::vector<messages::header> headers{{"Host", host}};
    if (!request.request_id.empty())
        headers.push_back({"Request-Id", request.request_id});
    if (!request.attempt.empty())
        headers.push_back({"Attempt", request.attempt});
    if (request.has_deadline)
    {
        auto const remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - kernel::monotonic_now());
        headers.push_back(
            {"Deadline-Ms", std::to_string(std::max<std::int64_t>(remaining.count(), 1))});
    }
    return messages::serialize_request(
        request.is_post ? "POST" : "GET", request.target, headers, request.body);
}

} // namespace

struct server_connection::implementation : std::enable_shared_from_this<implementation>
{
    implementation(kernel::event_loop& loop, std::string const& server, std::uint16_t port)
        : stream(loop.context())
        , address(server)
    {
        error_code failure;
        remote = tcp::endpoint(asio::ip::make_address(server, failure), port);
    }

    void connect(kernel::duration timeout, connect_handler&& handle);
    void start(server_request&& request, kernel::monotonic_time deadline, answer_handler&& handle);
    void write();
    void read();
    void finish(connection_end end);
    void close();
    [[nodiscard]] bool is_quiet();

    beast::tcp_stream stream;
    std::string address;
    tcp::endpoint remote;
    beast::flat_buffer buffer{messages::max_unparsed_bytes};
    std::string request;
    std::optional<messages::answer_parser> parser;
    answer_handler report;
    bool is_closed = false;
    bool has_sent = false;
    bool is_written = false;
    bool may_reuse = false;
};

void server_connection::implementation::connect(kernel::duration timeout, connect_handler&& handle)
{
    stream.expires_after(timeout);
    stream.async_connect(remote,
                         [self = shared_from_this(), handle = std::move(handle)](error_code failure)
                         {
                             if (self->is_closed)
                                 return;
                             self->stream.expires_never();
                             if (!failure)
                             {
                                 error_code ignored;
                                 self->stream.socket().set_option(tcp::no_delay(true), ignored);
                                 self->stream.socket().non_blocking(true, ignored);
                             }
                             handle(!failure);
                         });
}

void server_connection::implementation::start(server_request&& wanted,
                                              kernel::monotonic_time deadline,
                                              answer_handler&& handle)
{
    request = make_request(wanted, address, deadline);
    report = std::move(handle);
    may_reuse = false;
    is_written = false;
    has_sent = true;
    write();
    // Reading starts at once, because a server may refuse before it has read a long body.
    read();
}

void server_connection::implementation::write()
{
    asio::async_write(stream,
                      asio::buffer(request),
                      [self = shared_from_this()](error_code failure, std::size_t bytes)
                      {
                          self->is_written = !failure;
                          // After a part was written, the read decides: a refusal may have arrived.
                          if (failure && bytes == 0)
                              self->finish(connection_end::nothing_sent);
                      });
}

void server_connection::implementation::read()
{
    parser.emplace(messages::parser_limits{largest_header_block, largest_answer});
    messages::async_read_message(
        stream,
        buffer,
        *parser,
        [self = shared_from_this()](error_code failure)
        {
            if (failure || !messages::is_final_status(self->parser->head().status))
                return self->finish(connection_end::broken);
            self->may_reuse =
                self->is_written && self->parser->keep_alive() && self->buffer.size() == 0;
            self->finish(connection_end::answered);
        });
}

void server_connection::implementation::finish(connection_end end)
{
    if (is_closed || !report)
        return;
    auto const handle = std::exchange(report, nullptr);
    handle(end, end == connection_end::answered ? make_answer(*parser) : server_answer());
}

void server_connection::implementation::close()
{
    is_closed = true;
    report = nullptr;
    error_code ignored;
    stream.socket().close(ignored);
}

bool server_connection::implementation::is_quiet()
{
    char byte = 0;
    error_code failure;
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
    return failure == asio::error::would_block;
}

server_connection::server_connection(kernel::event_loop& loop,
                                     std::string const& address,
                                     std::uint16_t port)
    : m_implementation(std::make_shared<implementation>(loop, address, port))
{
}

server_connection::~server_connection()
{
    m_implementation->close();
}

void server_connection::connect(kernel::duration timeout, connect_handler handle)
{
    m_implementation->connect(timeout, std::move(handle));
}

void server_connection::exchange(server_request&& request,
                                 kernel::monotonic_time deadline,
                                 answer_handler handle)
{
    m_implementation->start(std::move(request), deadline, std::move(handle));
}

bool server_connection::has_sent() const
{
    return m_implementation->has_sent;
}

bool server_connection::is_reusable() const
{
    return m_implementation->may_reuse && m_implementation->is_quiet();
}

} // namespace pistachiohub::backend
