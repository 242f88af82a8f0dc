#include "plugins/gateway/server_connection.hpp"

#include "libraries/http/silence_limit.hpp"
#include "plugins/gateway/server_answer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <charconv>

namespace pistachiohub::gateway
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http_library = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// Long enough for several round trips between distant regions, and shorter than the target
// latencies of callers, so that there is time to try another server.
constexpr auto connect_timeout = milliseconds(300);
// A connection whose peer acknowledges nothing for this time is considered broken.
constexpr auto server_silence_limit = milliseconds(3000);
constexpr std::uint32_t max_header_bytes = 65536;
constexpr std::uint64_t max_body_bytes = std::uint64_t{16} << 20;
// Idle time after which a server is assumed to close a connection if it sends no Keep-Alive header.
constexpr auto default_keep_alive = std::chrono::seconds(4);
// Answers to other requests that are skipped before the connection is closed.
constexpr unsigned max_skipped_answers = 4;

using parser = http_library::response_parser<http_library::string_body>;

answer to_answer(http_library::response<http_library::string_body>&& message)
{
    answer result;
    result.status = message.result_int();
    result.reason = std::string(message.reason());
    for (auto const& field : message)
        result.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    result.body = std::move(message.body());
    return result;
}

// Parses the seconds of a Keep-Alive header such as `timeout=5, max=100`.
// @returns the default if the header names no timeout.
kernel::duration parse_keep_alive(std::string_view value)
{
    constexpr std::string_view name = "timeout=";
    auto const position = value.find(name);
    if (position == std::string_view::npos)
        return default_keep_alive;
    auto const digits = value.substr(position + name.size());
    unsigned seconds = 0;
    auto const [end, failure] =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return failure == std::errc{} ? kernel::duration(std::chrono::seconds(seconds))
                                  : kernel::duration(default_keep_alive);
}

} // namespace

struct server_connection::implementation : std::enable_shared_from_this<implementation>
{
    implementation(kernel::event_loop& loop,
                   kernel::endpoint const& server,
                   interface::message_headers const& header_names)
        : socket(loop.context())
        , timer(loop.context())
        , names(header_names)
    {
        error_code failure;
        remote = tcp::endpoint(asio::ip::make_address(server.address, failure), server.port);
    }

    void connect();
    void write();
    void read();
    void on_answer();
    void finish(attempt_result result, answer&& received, std::string_view detail);
    void close();
    [[nodiscard]] bool has_no_input() const;

    mutable tcp::socket socket;
    asio::steady_timer timer;
    interface::message_headers names;
    tcp::endpoint remote;
    beast::flat_buffer buffer;
    std::optional<parser> answer_parser;
    std::string request_id;
    bool is_head = false;
    request_serializer serializer;
    std::string text;
    exchange_handler on_end;
    unsigned skipped_answers = 0;
    bool is_connected = false;
    bool is_request_written = false;
    bool may_reuse = false;
    kernel::monotonic_time ended_at;
    kernel::duration keep_alive = default_keep_alive;
};

void server_connection::implementation::connect()
{
    timer.expires_after(connect_timeout);
    timer.async_wait(
        [self = shared_from_this()](error_code failure)
        {
            if (failure || self->is_connected)
                return;
            self->finish(attempt_result::never_sent, {}, "connect_timeout");
        });
    socket.async_connect(
        remote,
        [self = shared_from_this()](error_code failure)
        {
            if (!self->on_end)
                return;
            self->timer.cancel();
            if (failure)
                return self->finish(attempt_result::never_sent, {}, "connect_failed");
            self->is_connected = true;
            error_code ignored;
            self->socket.set_option(tcp::no_delay(true), ignored);
            self->socket.non_blocking(true, ignored);
            http::set_silence_limit(self->socket.native_handle(), server_silence_limit);
            self->write();
        });
}

void server_connection::implementation::write()
{
    text = serializer();
    serializer = nullptr;
    asio::async_write(socket,
                      asio::buffer(text),
                      [self = shared_from_this()](error_code failure, std::size_t bytes)
                      {
                          self->is_request_written = !failure;
                          // If part of the request was written, the result of the read decides:
                          // the server may have refused the request.
                          if (failure && bytes == 0)
                              self->finish(attempt_result::never_sent, {}, "write_failed");
                      });
    // Reading starts immediately, because a server may answer before it has read a long body.
    read();
}

void server_connection::implementation::read()
{
    answer_parser.emplace();
    answer_parser->header_limit(max_header_bytes);
    answer_parser->body_limit(max_body_bytes);
    answer_parser->skip(is_head);
    http_library::async_read(socket,
                             buffer,
                             *answer_parser,
                             [self = shared_from_this()](error_code failure, std::size_t)
                             {
                                 if (!self->on_end)
                                     return;
                                 if (failure)
                                     return self->finish(
                                         attempt_result::broken,
                                         {},
                                         failure == http_library::error::end_of_stream ? "closed"
                                                                                       : "broken");
                                 self->on_answer();
                             });
}

void server_connection::implementation::on_answer()
{
    bool const is_kept = answer_parser->keep_alive() && !answer_parser->need_eof();
    auto received = to_answer(answer_parser->release());
    switch (classify_message(received, names, request_id))
    {
    case message_meaning::interim:
        return read();
    case message_meaning::other_request:
        if (++skipped_answers > max_skipped_answers || !is_kept)
            return finish(attempt_result::broken, {}, "other_request");
        return read();
    case message_meaning::unproven:
        return finish(attempt_result::broken, {}, "unproven");
    case message_meaning::not_started:
    case message_meaning::answer:
        break;
    }
    // The next answer could not be identified reliably on a connection with extra bytes after this
    // answer, or whose answer arrived before the request was completely written.
    may_reuse = is_kept && is_request_written && buffer.size() == 0 && skipped_answers == 0;
    keep_alive = parse_keep_alive(find_header_value(received.headers, "Keep-Alive"));
    bool const is_refused =
        classify_message(received, names, request_id) == message_meaning::not_started;
    finish(is_refused ? attempt_result::not_started : attempt_result::answered,
           std::move(received),
           "");
}

void server_connection::implementation::finish(attempt_result result,
                                               answer&& received,
                                               std::string_view detail)
{
    if (!on_end)
        return;
    ended_at = kernel::monotonic_now();
    attempt_end end;
    end.result = result;
    end.reported_load = parse_load(find_header_value(received.headers, names.load));
    end.received = std::move(received);
    end.detail = detail;
    if (!may_reuse)
        close();
    auto const handle = std::exchange(on_end, nullptr);
    handle(std::move(end));
}

void server_connection::implementation::close()
{
    error_code ignored;
    timer.cancel();
    socket.close(ignored);
}

bool server_connection::implementation::has_no_input() const
{
    char byte = 0;
    error_code failure;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
    return failure == asio::error::would_block;
}

server_connection::server_connection(kernel::event_loop& loop,
                                     kernel::endpoint const& server,
                                     interface::message_headers const& names)
    : m_implementation(std::make_shared<implementation>(loop, server, names))
{
}

server_connection::~server_connection()
{
    m_implementation->on_end = nullptr;
    m_implementation->close();
}

void server_connection::start(std::string request_id,
                              bool is_head,
                              request_serializer serialize,
                              exchange_handler handle)
{
    auto& own = *m_implementation;
    own.request_id = std::move(request_id);
    own.is_head = is_head;
    own.serializer = std::move(serialize);
    own.on_end = std::move(handle);
    own.is_request_written = false;
    own.may_reuse = false;
    own.skipped_answers = 0;
    if (own.is_connected)
        own.write();
    else
        own.connect();
}

bool server_connection::is_reusable() const
{
    return m_implementation->may_reuse && m_implementation->has_no_input();
}

kernel::monotonic_time server_connection::idle_since() const
{
    return m_implementation->ended_at;
}

kernel::duration server_connection::keep_alive() const
{
    return m_implementation->keep_alive;
}

void probe_listener(kernel::event_loop& loop,
                    kernel::endpoint const& server,
                    std::function<void(bool is_refused)> handle)
{
    struct check
    {
        tcp::socket socket;
        asio::steady_timer timer;
        std::function<void(bool is_refused)> handle;

        void finish(bool is_refused)
        {
            timer.cancel();
            if (auto const once = std::exchange(handle, nullptr))
                once(is_refused);
        }
    };
    auto const running =
        std::make_shared<check>(check{tcp::socket(loop.context()),
                                      asio::steady_timer(loop.context(), connect_timeout),
                                      std::move(handle)});
    running->timer.async_wait(
        [running](error_code failure)
        {
            error_code ignored;
            if (!failure)
                running->socket.close(ignored);
        });
    running->socket.async_connect(
        tcp::endpoint(asio::ip::make_address(server.address), server.port),
        [running](error_code failure)
        {
            running->finish(failure == asio::error::connection_refused);
        });
}

} // namespace pistachiohub::gateway
