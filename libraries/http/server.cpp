#include "libraries/http/server.hpp"

#include "libraries/http/connection_choice.hpp"
#include "libraries/http/memory_budget.hpp"
#include "libraries/http/message_reader.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <chrono>
#include <optional>
#include <unordered_set>
#include <vector>

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
constexpr std::size_t read_chunk_bytes = 4096;

class session;

struct shared_state
{
    request_handler handle;
    kernel::metrics& counters;
    std::string refusal_counter;
    server_limits limits;
    memory_budget memory;
    std::unordered_set<session*> sessions;
};

class session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, std::shared_ptr<shared_state> state)
        : m_stream(std::move(socket))
        , m_state(std::move(state))
        , m_received(m_state->memory)
        , m_unsent(m_state->memory)
        , m_since(kernel::monotonic_now())
    {
        m_state->sessions.insert(this);
    }

    session(session const&) = delete;
    session& operator=(session const&) = delete;

    ~session()
    {
        m_state->sessions.erase(this);
    }

    void begin_request()
    {
        m_use = connection_use::idle;
        m_since = kernel::monotonic_now();
        m_parser.emplace(parser_limits{largest_header_bytes, largest_body_bytes});
        m_stream.expires_after(idle_timeout);
        parse();
    }

    [[nodiscard]] connection_state state() const
    {
        return {m_use, m_since, is_receiving() ? m_received.bytes() : 0, m_since, m_unsent.bytes()};
    }

    [[nodiscard]] bool is_open() const
    {
        return m_stream.socket().is_open();
    }

    /// Refuses the request that is being read.
    void refuse_for_memory()
    {
        refuse_with(503, "no_memory");
    }

    void close()
    {
        boost::system::error_code ignored;
        m_stream.socket().close(ignored);
    }

private:
    void read()
    {
        m_is_reading = true;
        m_stream.async_read_some(
            m_buffer.prepare(read_chunk_bytes),
            [self = shared_from_this()](boost::system::error_code failure, std::size_t bytes)
            {
                self->m_is_reading = false;
                self->on_read(failure, bytes);
            });
    }

    void on_read(boost::system::error_code failure, std::size_t bytes)
    {
        // The request was refused while it was read.
        if (m_use == connection_use::ending)
            return discard();
        if (failure || !is_receiving())
            return;
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
        boost::system::error_code failure;
        parse_buffered(m_buffer, *m_parser, failure);
        if (failure)
            return refuse(failure);
        m_received.set(m_buffer.capacity() + m_parser->memory());
        if (m_use == connection_use::idle && (m_parser->got_some() || m_buffer.size() > 0))
        {
            m_use = connection_use::receiving_head;
            m_since = kernel::monotonic_now();
        }
        if (m_parser->is_header_done() && m_use == connection_use::receiving_head)
            m_use = connection_use::receiving_body;
        if (is_exhausted(m_state->memory))
            relieve();
        if (!is_receiving())
            return;
        if (m_parser->is_done())
            handle();
        else
            read();
    }

    // Frees memory at the expense of whoever holds most of it.
    void relieve();

    void handle()
    {
        m_use = connection_use::running;
        auto& head = m_parser->head();
        m_is_kept = m_parser->keep_alive();
        auto const& target = head.target;
        auto const query = target.find('?');
        server_request wanted;
        wanted.method = std::move(head.method);
        wanted.path = target.substr(0, query);
        wanted.query = query == std::string::npos ? "" : target.substr(query + 1);
        wanted.authorization = find_header(head.headers, "Authorization").value_or("");
        wanted.body = std::move(m_parser->body());
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
        if (failure == error::body_limit)
            refuse_with(413, "body_too_large");
        else if (failure == error::header_limit)
            refuse_with(431, "header_too_large");
        else
            refuse_with(400, "malformed_http");
    }

    void refuse_with(unsigned status, std::string_view reason)
    {
        m_is_kept = false;
        m_parser.reset();
        m_state->counters.find_counter(m_state->refusal_counter, {"reason", reason}).increment();
        write({status, "{\"reason\":\"" + std::string(reason) + "\"}"});
    }

    void write(server_reply answer)
    {
        m_use = connection_use::sending;
        m_since = kernel::monotonic_now();
        m_received.set(m_buffer.capacity());
        m_unsent.set(answer.body.capacity());
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
        m_response = {};
        m_unsent.set(0);
        if (!failure && m_is_kept)
        {
            begin_request();
            return;
        }
        m_use = connection_use::ending;
        boost::system::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        m_stream.expires_after(linger_timeout);
        // A read whose request was refused goes on with its own time limit.
        if (m_is_reading)
            m_stream.cancel();
        else
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
    std::optional<request_parser> m_parser;
    beast::http::response<beast::http::string_body> m_response;
    std::array<char, 4096> m_discarded{};
    memory_claim m_received;
    memory_claim m_unsent;
    connection_use m_use = connection_use::idle;
    kernel::monotonic_time m_since;
    bool m_is_reading = false;
    bool m_is_kept = false;
};

/// All connections, and what they do, in the same order.
struct session_list
{
    std::vector<std::shared_ptr<session>> sessions;
    std::vector<connection_state> states;
};

session_list list_sessions(shared_state const& state)
{
    session_list result;
    for (auto* const one : state.sessions)
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

void session::relieve()
{
    auto const now = kernel::monotonic_now();
    auto const all = list_sessions(*m_state);
    if (auto const slow = choose_slow_reader(all.states, now))
        all.sessions[*slow]->close();
    else if (auto const largest = choose_request_to_refuse(all.states, now))
        all.sessions[*largest]->refuse_for_memory();
    else
        refuse_for_memory();
}

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

    void accept_later()
    {
        loop.after(accept_retry,
                   [this]()
                   {
                       accept();
                   });
    }

    /// Closes the connection that can best be spared.
    /// @returns whether there was one.
    bool close_one()
    {
        auto const all = list_sessions(*state);
        auto const spare = choose_connection_to_close(all.states, kernel::monotonic_now());
        auto const reason = spare ? "connection_closed" : "connections";
        state->counters.find_counter(state->refusal_counter, {"reason", reason}).increment();
        if (spare)
            all.sessions[*spare]->close();
        return spare.has_value();
    }

    void accept()
    {
        // Callers wait in the backlog until a connection can be spared.
        if (state->sessions.size() >= state->limits.connections && !close_one())
            return accept_later();
        acceptor.async_accept(
            [this](boost::system::error_code failure, tcp::socket socket)
            {
                if (failure == asio::error::operation_aborted)
                    return;
                if (failure)
                {
                    // For example, no file descriptor is free; trying at once would spin.
                    close_one();
                    return accept_later();
                }
                std::make_shared<session>(std::move(socket), state)->begin_request();
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
               request_handler handle,
               server_limits const& limits)
    : m_implementation(std::make_unique<implementation>(
          loop,
          std::make_shared<shared_state>(shared_state{std::move(handle),
                                                      counters,
                                                      std::move(refusal_counter),
                                                      limits,
                                                      {limits.held_bytes},
                                                      {}})))
{
    m_implementation->listen(own.address, own.port);
    m_implementation->accept();
}

server::~server() = default;

} // namespace pistachiohub::http
