#include "plugins/front/caller_server.hpp"

#include "libraries/http/connection_choice.hpp"
#include "libraries/http/memory_budget.hpp"
#include "libraries/http/message_reader.hpp"
#include "plugins/front/http_failure.hpp"
#include "plugins/front/listen_error.hpp"
#include "plugins/front/refusal_counter.hpp"
#include "plugins/front/response_text.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace pistachiohub::front
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bounds = pistachiohub::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t read_size = 4096;
// Time and bytes for which a refused caller's unread input is discarded. Closing a socket with
// unread input resets the connection, which can destroy the refusal before the caller reads it.
constexpr auto linger_time = std::chrono::milliseconds(1000);
constexpr std::size_t largest_discarded_input = std::size_t{4} * 1024 * 1024;
// Pause after a failed accept, for example when no file descriptor is left.
constexpr auto accept_pause = std::chrono::milliseconds(100);

void add_occurrence(header_value& value, std::string_view text)
{
    value.text = text;
    ++value.occurrences;
}

// The views of the result point into `received`.
request_head make_head(bounds::message_head const& received)
{
    request_head head;
    head.method = received.method;
    head.target = received.target;
    for (auto const& [name, value] : received.headers)
    {
        if (bounds::is_same_header_name(name, "Pistachiohub-Request-Id"))
            add_occurrence(head.request_id, value);
        else if (bounds::is_same_header_name(name, "Pistachiohub-Deadline-Ms"))
            add_occurrence(head.deadline_ms, value);
        else if (bounds::is_same_header_name(name, "Pistachiohub-Transmission"))
            add_occurrence(head.transmission, value);
    }
    return head;
}

class session;

/// The open connections and what they do, in the same order.
struct session_list
{
    std::vector<std::shared_ptr<session>> sessions;
    std::vector<bounds::connection_state> states;
};

} // namespace

struct caller_server::implementation : std::enable_shared_from_this<implementation>
{
    implementation(kernel::event_loop& loop,
                   kernel::metrics& metrics,
                   caller_server_limits const& server_limits,
                   request_handler handler)
        : counters(&metrics)
        , limits(server_limits)
        , memory{server_limits.held_bytes}
        , handle(std::move(handler))
        , acceptor(loop.context())
        , accept_timer(loop.context())
    {
    }

    void listen(std::string const& address, std::uint16_t port);
    void accept();
    void start_session(tcp::socket&& socket);
    /// Closes the connection that can best be spared.
    /// @returns whether there was one.
    bool close_one();
    [[nodiscard]] session_list list_sessions() const;
    void count_closed(std::string_view cause) const;

    kernel::metrics* counters;
    caller_server_limits limits;
    bounds::memory_budget memory;
    request_handler handle;
    tcp::acceptor acceptor;
    asio::steady_timer accept_timer;
    std::unordered_map<std::uint64_t, std::weak_ptr<session>> waiting;
    std::uint64_t last_exchange = 0;
    std::unordered_set<session*> sessions;
    std::size_t writes = 0;
};

namespace
{

/// One connection of a caller; it handles one request at a time.
class session : public std::enable_shared_from_this<session>
{
public:
    using server = caller_server::implementation;

    session(std::shared_ptr<server> owner, tcp::socket&& socket)
        : m_server(std::move(owner))
        , m_stream(std::move(socket))
        , m_received(m_server->memory)
        , m_unsent(m_server->memory)
        , m_since(kernel::monotonic_now())
    {
        m_server->sessions.insert(this);
    }

    ~session()
    {
        m_server->sessions.erase(this);
    }

    session(session const&) = delete;
    session& operator=(session const&) = delete;

    void read_next()
    {
        m_use = connection_use::idle;
        m_since = kernel::monotonic_now();
        m_parser.emplace(bounds::parser_limits{largest_header_block, largest_body});
        m_stream.expires_after(m_server->limits.idle);
        parse();
    }

    [[nodiscard]] bool is_open() const
    {
        return m_stream.socket().is_open();
    }

    [[nodiscard]] bounds::connection_state state() const
    {
        return {m_use, m_since, is_receiving() ? m_received.bytes() : 0, m_since, m_unsent.bytes()};
    }

    /// Closes the connection so that another can be accepted.
    void give_way()
    {
        m_server->count_closed("too_many_connections");
        close();
    }

    /// Refuses the request that is being read, or was just read, for want of memory.
    void refuse_for_memory()
    {
        refuse({reason::daemon_overloaded, "the memory for requests is used up", std::nullopt});
    }

    void reply(caller_answer const& answer)
    {
        m_exchange = 0;
        // Ends the wait for the caller's end of connection.
        error_code ignored;
        m_stream.socket().cancel(ignored);
        write(answer);
    }

private:
    using connection_use = bounds::connection_use;

    void read()
    {
        m_is_reading = true;
        m_stream.async_read_some(m_buffer.prepare(read_size),
                                 [self = shared_from_this()](error_code failure, std::size_t bytes)
                                 {
                                     self->m_is_reading = false;
                                     self->on_read(failure, bytes);
                                 });
    }

    void on_read(error_code failure, std::size_t bytes)
    {
        // The request was refused while it was read.
        if (m_use == connection_use::ending)
            return discard(0);
        if (!is_receiving())
            return;
        if (failure)
            return close_after(failure, m_use == connection_use::idle ? "idle" : "slow_request");
        m_buffer.commit(bytes);
        parse();
    }

    [[nodiscard]] bool is_receiving() const
    {
        return m_use == connection_use::idle || m_use == connection_use::receiving_head ||
               m_use == connection_use::receiving_body;
    }

    void parse()
    {
        if (m_use == connection_use::idle && m_buffer.size() > 0)
        {
            m_use = connection_use::receiving_head;
            m_since = kernel::monotonic_now();
            m_stream.expires_after(m_server->limits.read);
        }
        error_code failure;
        bounds::parse_buffered(m_buffer, *m_parser, failure);
        if (failure)
            return refuse_input(failure);
        m_received.set(m_buffer.capacity() + m_parser->memory());
        if (m_parser->is_header_done())
            m_use = connection_use::receiving_body;
        if (is_exhausted(m_server->memory))
            relieve();
        if (!is_receiving())
            return;
        if (m_parser->is_done())
            handle_request();
        else
            read();
    }

    void refuse_input(error_code failure)
    {
        if (auto const refused = refusal_of(failure))
            refuse(*refused);
        else
            close_after(failure, "slow_request");
    }

    // Frees memory at the expense of whoever holds most of it.
    void relieve()
    {
        auto const now = kernel::monotonic_now();
        auto const all = m_server->list_sessions();
        if (auto const slow = bounds::choose_slow_reader(all.states, now))
            all.sessions[*slow]->close();
        else if (auto const largest = bounds::choose_request_to_refuse(all.states, now))
            all.sessions[*largest]->refuse_for_memory();
        else
            refuse_for_memory();
    }

    void refuse(refusal const& refused)
    {
        count_refusal(*m_server->counters, refused.cause);
        m_is_keep_alive = false;
        m_parser.reset();
        write(make_refusal(refused));
    }

    void handle_request()
    {
        // Every answer has a body, which a caller of HEAD would take for the next answer.
        auto const& head = m_parser->head();
        m_is_keep_alive = m_parser->keep_alive() && head.method != "HEAD";
        m_use = connection_use::running;
        auto const exchange = ++m_server->last_exchange;
        auto answer = m_server->handle(exchange, make_head(head), std::move(m_parser->body()));
        if (answer)
            return write(*answer);
        m_exchange = exchange;
        m_server->waiting.emplace(exchange, weak_from_this());
        watch_for_end(exchange);
    }

    // While the request runs, input means either a pipelined request, which waits, or the end.
    void watch_for_end(std::uint64_t exchange)
    {
        m_stream.socket().async_wait(
            tcp::socket::wait_read,
            [self = shared_from_this(), exchange](error_code failure)
            {
                if (self->m_exchange != exchange)
                    return;
                error_code unavailable;
                if (!failure && self->m_stream.socket().available(unavailable) > 0 && !unavailable)
                    return;
                self->m_exchange = 0;
                self->m_server->waiting.erase(exchange);
                self->m_server->count_closed("caller_gone");
                self->close();
            });
    }

    void write(caller_answer const& answer)
    {
        m_response = make_response_text(answer, m_is_keep_alive);
        m_use = connection_use::sending;
        m_since = kernel::monotonic_now();
        m_received.set(m_buffer.capacity());
        m_unsent.set(m_response.capacity());
        m_stream.expires_after(m_server->limits.write);
        ++m_server->writes;
        asio::async_write(m_stream,
                          asio::buffer(m_response),
                          [self = shared_from_this()](error_code failure, std::size_t)
                          {
                              --self->m_server->writes;
                              self->m_response = {};
                              self->m_unsent.set(0);
                              if (failure)
                                  self->close_after(failure, "slow_reader");
                              else if (self->m_is_keep_alive)
                                  self->read_next();
                              else
                                  self->linger();
                          });
    }

    void linger()
    {
        error_code ignored;
        m_use = connection_use::ending;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        m_stream.expires_after(linger_time);
        // A read whose request was refused goes on with its own time limit.
        if (m_is_reading)
            return m_stream.cancel();
        m_buffer.clear();
        discard(0);
    }

    void discard(std::size_t discarded)
    {
        m_stream.async_read_some(
            m_buffer.prepare(read_size),
            [self = shared_from_this(), discarded](error_code failure, std::size_t bytes)
            {
                if (!failure && discarded + bytes < largest_discarded_input)
                    self->discard(discarded + bytes);
                else
                    self->close();
            });
    }

    void close_after(error_code failure, std::string_view timeout_cause)
    {
        bool const is_timeout = failure == beast::error::timeout;
        m_server->count_closed(is_timeout ? timeout_cause : "caller_closed");
        close();
    }

    void close()
    {
        error_code ignored;
        m_stream.socket().close(ignored);
    }

    std::shared_ptr<server> m_server;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<bounds::request_parser> m_parser;
    bounds::memory_claim m_received;
    bounds::memory_claim m_unsent;
    connection_use m_use = connection_use::idle;
    kernel::monotonic_time m_since;
    bool m_is_reading = false;
    std::string m_response;
    std::uint64_t m_exchange = 0;
    bool m_is_keep_alive = false;
};

// Sends a refusal without waiting, so that a flood of connections costs no memory.
void refuse_connection(tcp::socket& socket)
{
    auto const refused =
        make_refusal({reason::daemon_overloaded, "too many connections are open", std::nullopt});
    auto const text = make_response_text(refused, false);
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(text), ignored);
    socket.shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace

void caller_server::implementation::listen(std::string const& address, std::uint16_t port)
{
    constexpr int backlog = 1024;
    try
    {
        tcp::endpoint const own(asio::ip::make_address(address), port);
        acceptor.open(own.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(own);
        acceptor.listen(backlog);
    }
    catch (boost::system::system_error const& failure)
    {
        throw listen_error(address, port, failure.code().message());
    }
}

void caller_server::implementation::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](error_code failure, tcp::socket socket)
        {
            if (failure == asio::error::operation_aborted)
                return;
            if (!failure)
            {
                self->start_session(std::move(socket));
                return self->accept();
            }
            self->count_closed("accept_failed");
            self->close_one();
            self->accept_timer.expires_after(accept_pause);
            self->accept_timer.async_wait(
                [self](error_code stopped)
                {
                    if (!stopped && self->acceptor.is_open())
                        self->accept();
                });
        });
}

void caller_server::implementation::start_session(tcp::socket&& socket)
{
    if (sessions.size() >= limits.most_connections && !close_one())
    {
        count_refusal(*counters, reason::daemon_overloaded);
        count_closed("too_many_connections");
        refuse_connection(socket);
        return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::make_shared<session>(shared_from_this(), std::move(socket))->read_next();
}

bool caller_server::implementation::close_one()
{
    auto const all = list_sessions();
    auto const spare = bounds::choose_connection_to_close(all.states, kernel::monotonic_now());
    if (spare)
        all.sessions[*spare]->give_way();
    return spare.has_value();
}

session_list caller_server::implementation::list_sessions() const
{
    session_list result;
    for (auto* const one : sessions)
    {
        // A session whose last operation is being destroyed has no owner any more.
        auto open = one->weak_from_this().lock();
        if (open && open->is_open())
        {
            result.states.push_back(open->state());
            result.sessions.push_back(std::move(open));
        }
    }
    return result;
}

void caller_server::implementation::count_closed(std::string_view cause) const
{
    counters->find_counter("pistachiohub_front_connections_closed_total", {"reason", cause})
        .increment();
}

caller_server::caller_server(kernel::event_loop& loop,
                             kernel::metrics& counters,
                             std::string const& address,
                             std::uint16_t port,
                             caller_server_limits const& limits,
                             request_handler handle)
    : m_implementation(std::make_shared<implementation>(loop, counters, limits, std::move(handle)))
{
    m_implementation->listen(address, port);
    m_implementation->accept();
}

caller_server::~caller_server()
{
    stop_accepting();
}

bool caller_server::complete(std::uint64_t exchange, caller_answer const& answer)
{
    auto const found = m_implementation->waiting.find(exchange);
    if (found == m_implementation->waiting.end())
        return false;
    auto const waiting = found->second.lock();
    m_implementation->waiting.erase(found);
    if (!waiting)
        return false;
    waiting->reply(answer);
    return true;
}

std::uint16_t caller_server::port() const
{
    return m_implementation->acceptor.local_endpoint().port();
}

void caller_server::stop_accepting()
{
    error_code ignored;
    m_implementation->acceptor.close(ignored);
    m_implementation->accept_timer.cancel();
}

bool caller_server::is_idle() const
{
    return m_implementation->waiting.empty() && m_implementation->writes == 0;
}

} // namespace pistachiohub::front
