#include "plugins/gateway/server_connection.hpp"

#include "libraries/http/bounded_parser.hpp"
#include "libraries/http/silence_limit.hpp"
#include "plugins/gateway/server_answer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
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
// Largest head of an answer, beside the id of its request, whose length the caller chooses.
constexpr std::uint32_t max_header_bytes = 65536;
// Bytes that are read at a time.
constexpr std::size_t read_chunk_bytes = 16384;
// Bytes that are written at a time.
constexpr std::size_t write_chunk_bytes = 65536;
// Answers up to this size are collected, so that a broken one can be repeated at another server.
constexpr std::size_t max_collected_bytes = 65536;
// Divisor of the memory for answers: size up to which a larger answer is collected while further
// requests of its caller's connection are running, whose answers its break would lose.
constexpr std::size_t max_share_collected = 16;
// Size from which an answer is delivered in parts when the memory for answers is exhausted.
constexpr std::size_t min_streamed_bytes = read_chunk_bytes;
// Interim answers before the final one, and bytes of answers to other requests, after which the
// connection is closed: a server may send them without end.
constexpr unsigned max_interim_answers = 8;
constexpr std::uint64_t max_skipped_bytes = std::uint64_t{1} << 20;
// Idle time after which a server is assumed to close a connection if it sends no Keep-Alive header.
constexpr auto default_keep_alive = std::chrono::seconds(4);
// Answers to other requests that are skipped before the connection is closed.
constexpr unsigned max_skipped_answers = 4;

answer to_answer(http::message_head&& head)
{
    return {head.status, std::move(head.reason), std::move(head.headers), {}};
}

/// What happens to the body of the message that is being read.
enum class body_use
{
    collected,
    /// Handed on in parts.
    streamed,
    /// Belongs to another request.
    discarded
};

std::optional<tcp::endpoint> to_remote(kernel::endpoint const& server)
{
    if (!kernel::is_host_address(server.address))
        return std::nullopt;
    return tcp::endpoint(asio::ip::make_address(server.address), server.port);
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
    implementation(kernel::event_loop& own_loop,
                   kernel::endpoint const& server,
                   interface::message_headers const& header_names,
                   answer_memory& answers)
        : loop(own_loop)
        , socket(own_loop.context())
        , timer(own_loop.context())
        , names(header_names)
        , memory(answers)
    {
        remote = to_remote(server);
    }

    void connect();
    // An answer repeats the id of its request, and its signature may hold it too.
    [[nodiscard]] std::uint32_t header_limit() const
    {
        return max_header_bytes + 2 * static_cast<std::uint32_t>(request_id.size());
    }
    void write();
    void update_silence_limit();
    void start_message();
    void read();
    void parse();
    void on_end_of_input(error_code failure);
    void on_head();
    void read_notice();
    /// @returns whether parsing goes on.
    [[nodiscard]] bool on_body();
    [[nodiscard]] bool skip_body();
    [[nodiscard]] bool stream_body();
    void on_message_end();
    void finish(attempt_result result, std::string_view detail);
    void close();
    [[nodiscard]] bool has_no_input() const;
    [[nodiscard]] bool should_stream() const;

    kernel::event_loop& loop;
    mutable tcp::socket socket;
    asio::steady_timer timer;
    interface::message_headers names;
    answer_memory& memory;
    memory_claim claim{memory};
    /// Missing if the address is none of a host.
    std::optional<tcp::endpoint> remote;
    beast::flat_buffer buffer;
    std::optional<http::answer_parser> parser;
    std::string request_id;
    bool is_head = false;
    request_serializer serializer;
    std::string text;
    exchange_handlers handlers;
    /// Head of the message that is being read, and the whole answer at its end.
    answer received;
    message_meaning meaning = message_meaning::unproven;
    body_use use = body_use::collected;
    unsigned interim_answers = 0;
    unsigned skipped_answers = 0;
    std::uint64_t skipped_bytes = 0;
    bool is_connected = false;
    bool is_request_written = false;
    bool has_write_failed = false;
    /// The kernel may hold bytes that the server has no room for.
    bool may_have_backlog = false;
    /// The limit of silence is suspended.
    bool is_silence_allowed = false;
    bool is_head_read = false;
    bool is_reading = false;
    bool is_paused = false;
    bool may_reuse = false;
    kernel::monotonic_time ended_at;
    kernel::duration keep_alive = default_keep_alive;
};

void server_connection::implementation::connect()
{
    if (!remote)
    {
        asio::post(loop.context(),
                   [self = shared_from_this()]()
                   {
                       self->finish(attempt_result::never_sent, "no_address");
                   });
        return;
    }
    timer.expires_after(connect_timeout);
    timer.async_wait(
        [self = shared_from_this()](error_code failure)
        {
            if (failure || self->is_connected)
                return;
            self->finish(attempt_result::never_sent, "connect_timeout");
        });
    socket.async_connect(*remote,
                         [self = shared_from_this()](error_code failure)
                         {
                             if (!self->handlers.ended)
                                 return;
                             self->timer.cancel();
                             if (failure)
                                 return self->finish(attempt_result::never_sent, "connect_failed");
                             self->is_connected = true;
                             error_code ignored;
                             self->socket.set_option(tcp::no_delay(true), ignored);
                             self->socket.non_blocking(true, ignored);
                             http::set_silence_limit(self->socket.native_handle(),
                                                     server_silence_limit);
                             self->write();
                         });
}

void server_connection::implementation::write()
{
    text = serializer();
    serializer = nullptr;
    auto const note_progress = [this](error_code failure, std::size_t) -> std::size_t
    {
        update_silence_limit();
        return failure ? 0 : write_chunk_bytes;
    };
    asio::async_write(socket,
                      asio::buffer(text),
                      note_progress,
                      [self = shared_from_this()](error_code failure, std::size_t bytes)
                      {
                          self->is_request_written = !failure;
                          self->has_write_failed =
                              failure && failure != asio::error::operation_aborted;
                          // If part of the request was written, the result of the read decides:
                          // the server may have refused the request.
                          if (failure && bytes == 0)
                              self->finish(attempt_result::never_sent, "write_failed");
                      });
    update_silence_limit();
    // Reading starts immediately, because a server may answer before it has read a long body.
    start_message();
    read();
}

void server_connection::implementation::update_silence_limit()
{
    may_have_backlog = http::update_silence_limit(
        socket.native_handle(), server_silence_limit, is_silence_allowed);
}

void server_connection::implementation::start_message()
{
    // The memory of a body is bounded here, and its time by the deadline of the request.
    parser.emplace(http::parser_limits{header_limit(), std::nullopt});
    if (is_head)
        parser->skip_body();
    received = {};
    is_head_read = false;
    use = body_use::collected;
}

void server_connection::implementation::read()
{
    if (is_reading || is_paused || !socket.is_open())
        return;
    is_reading = true;
    auto const space = std::min(read_chunk_bytes, buffer.max_size() - buffer.size());
    socket.async_read_some(buffer.prepare(space),
                           [self = shared_from_this()](error_code failure, std::size_t bytes)
                           {
                               self->is_reading = false;
                               if (!self->handlers.ended)
                                   return;
                               if (failure)
                                   return self->on_end_of_input(failure);
                               self->buffer.commit(bytes);
                               self->parse();
                           });
}

void server_connection::implementation::parse()
{
    while (buffer.size() > 0 && handlers.ended && !is_paused)
    {
        error_code failure;
        auto const used = parser->put_bounded(buffer.data(), failure);
        buffer.consume(used);
        bool const needs_more = failure == http_library::error::need_more;
        if (failure && !needs_more)
            return finish(attempt_result::broken, "broken");
        if (parser->is_header_done() && !is_head_read)
            on_head();
        if (!handlers.ended || !on_body())
            return;
        if (parser->is_done())
        {
            on_message_end();
            if (!handlers.ended || !parser)
                return;
        }
        else if (needs_more || used == 0)
            break;
    }
    if (!handlers.ended || is_paused)
        return;
    if (buffer.size() == buffer.max_size())
        return finish(attempt_result::broken, "too_large");
    read();
}

void server_connection::implementation::on_end_of_input(error_code failure)
{
    bool const is_closed = failure == asio::error::eof;
    if (!is_closed)
        return finish(attempt_result::broken,
                      failure == asio::error::timed_out ? "silent" : "reset");
    if (!parser->got_some())
        return finish(attempt_result::broken, "closed");
    // The write took the error of the connection, which the read then sees as an orderly close.
    if (has_write_failed && parser->is_header_done() && parser->need_eof())
        return finish(attempt_result::broken, "reset");
    error_code incomplete;
    parser->put_end(incomplete);
    if (incomplete)
        return finish(attempt_result::broken, "broken");
    on_message_end();
}

void server_connection::implementation::on_head()
{
    is_head_read = true;
    received = to_answer(std::move(parser->head()));
    meaning = classify_message(received, names, request_id);
    switch (meaning)
    {
    case message_meaning::interim:
        if (++interim_answers > max_interim_answers)
            finish(attempt_result::broken, "too_many_interim");
        return;
    case message_meaning::other_request:
        use = body_use::discarded;
        if (++skipped_answers > max_skipped_answers || !parser->keep_alive())
            finish(attempt_result::broken, "other_request");
        return;
    case message_meaning::invalid:
        return finish(attempt_result::broken, "invalid_status");
    case message_meaning::unproven:
        return finish(attempt_result::broken, "unproven");
    case message_meaning::not_started:
    case message_meaning::answer:
        return read_notice();
    }
}

void server_connection::implementation::read_notice()
{
    constexpr unsigned misdirected_request = 421;
    // Another server answers there.
    if (received.status == misdirected_request)
        return;
    handlers.notice_received(names.read_notice(received.status,
                                               [this](std::string_view name)
                                               {
                                                   return find_header_value(received.headers, name);
                                               }));
}

bool server_connection::implementation::should_stream() const
{
    auto const size = parser->body().size();
    if (is_exhausted(memory))
        return size >= min_streamed_bytes;
    return size >= max_collected_bytes &&
           (size >= memory.limit / max_share_collected || !handlers.has_requests_behind());
}

bool server_connection::implementation::on_body()
{
    if (!is_head_read)
        return true;
    auto& body = parser->body();
    if (use == body_use::discarded)
        return skip_body();
    claim.set(body.size());
    if (use == body_use::streamed)
        return stream_body();
    if (parser->is_done() || !should_stream())
        return true;
    // The head proves what the body cannot change.
    if (meaning == message_meaning::not_started)
    {
        finish(attempt_result::not_started, "");
        return false;
    }
    // The caller does not get it, and its head says what it says of the request.
    if (promises_not_run(received.status))
    {
        finish(attempt_result::answered, "");
        return false;
    }
    constexpr unsigned first_server_error = 500;
    if (received.status >= first_server_error)
    {
        // A failure may be repeated at another server, so it is not handed on before its end.
        finish(attempt_result::broken, "too_large");
        return false;
    }
    use = body_use::streamed;
    std::optional<std::uint64_t> length;
    if (auto const announced = parser->content_length())
        length = *announced;
    handlers.stream_begun(answer(received), length);
    return handlers.ended && stream_body();
}

bool server_connection::implementation::skip_body()
{
    auto& body = parser->body();
    skipped_bytes += body.size();
    body.clear();
    if (skipped_bytes <= max_skipped_bytes)
        return true;
    finish(attempt_result::broken, "other_request");
    return false;
}

bool server_connection::implementation::stream_body()
{
    auto part = std::exchange(parser->body(), {});
    claim.set(0);
    if (!part.empty() && !handlers.part_received(std::move(part)))
        is_paused = !parser->is_done();
    return static_cast<bool>(handlers.ended);
}

void server_connection::implementation::on_message_end()
{
    bool const is_kept = parser->keep_alive() && !parser->need_eof();
    if (meaning == message_meaning::interim || meaning == message_meaning::other_request)
        return start_message();
    received.body = std::move(parser->body());
    parser.reset();
    // A refusal need not name its request. A late copy of one could not be told from the answer to
    // the next request.
    bool const is_identified = !find_header_value(received.headers, names.request_id).empty();
    // The next answer could not be identified reliably on a connection with extra bytes after this
    // answer, or whose answer arrived before the request was completely written.
    may_reuse = is_kept && is_identified && is_request_written && buffer.size() == 0 &&
                skipped_answers == 0;
    keep_alive = parse_keep_alive(find_header_value(received.headers, "Keep-Alive"));
    finish(meaning == message_meaning::not_started ? attempt_result::not_started
                                                   : attempt_result::answered,
           "");
}

void server_connection::implementation::finish(attempt_result result, std::string_view detail)
{
    if (!handlers.ended)
        return;
    ended_at = kernel::monotonic_now();
    attempt_end end;
    end.result = result;
    end.reported_load = parse_load(find_header_value(received.headers, names.load));
    bool const has_answer =
        result == attempt_result::answered || result == attempt_result::not_started;
    if (has_answer)
        end.received = std::move(received);
    end.detail = detail;
    received = {};
    claim.set(0);
    if (!may_reuse)
        close();
    // An idle connection keeps no memory for its input, nor its last request.
    buffer = beast::flat_buffer();
    if (may_reuse)
        text = {};
    // A copy of the handler, since it may destroy this connection's owner or start a new exchange.
    auto const handle = std::exchange(handlers, {}).ended;
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
                                     interface::message_headers const& names,
                                     answer_memory& memory)
    : m_implementation(std::make_shared<implementation>(loop, server, names, memory))
{
}

server_connection::~server_connection()
{
    m_implementation->handlers = {};
    m_implementation->claim.set(0);
    m_implementation->close();
}

void server_connection::start(std::string request_id,
                              bool is_head,
                              request_serializer serialize,
                              exchange_handlers handlers)
{
    auto& own = *m_implementation;
    own.request_id = std::move(request_id);
    // Input that is not parsed yet. A chunk header or a trailer that does not end is refused there.
    own.buffer.max_size(own.header_limit() + read_chunk_bytes);
    own.is_head = is_head;
    own.serializer = std::move(serialize);
    own.handlers = std::move(handlers);
    own.is_request_written = false;
    own.has_write_failed = false;
    own.may_reuse = false;
    own.is_paused = false;
    own.interim_answers = 0;
    own.skipped_answers = 0;
    own.skipped_bytes = 0;
    if (own.is_connected)
        own.write();
    else
        own.connect();
}

void server_connection::check_silence()
{
    auto& own = *m_implementation;
    if (own.may_have_backlog && own.socket.is_open())
        own.update_silence_limit();
}

void server_connection::resume()
{
    // Parsing calls the handlers, which must not happen from within this call.
    asio::post(m_implementation->loop.context(),
               [self = m_implementation]()
               {
                   if (!std::exchange(self->is_paused, false) || !self->handlers.ended)
                       return;
                   self->parse();
               });
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
    auto const remote = to_remote(server);
    if (!remote)
    {
        asio::post(loop.context(),
                   [handle = std::move(handle)]()
                   {
                       handle(false);
                   });
        return;
    }
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
    running->socket.async_connect(*remote,
                                  [running](error_code failure)
                                  {
                                      running->finish(failure == asio::error::connection_refused);
                                  });
}

} // namespace pistachiohub::gateway
