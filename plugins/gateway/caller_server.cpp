#include "plugins/gateway/caller_server.hpp"

#include "kernel/log.hpp"
#include "libraries/http/bounded_parser.hpp"
#include "libraries/http/connection_choice.hpp"
#include "libraries/http/server.hpp"
#include "libraries/http/silence_limit.hpp"
#include "plugins/customer/credentials.hpp"
#include "plugins/gateway/affinity.hpp"
#include "plugins/gateway/caller_exchange.hpp"
#include "plugins/gateway/caller_input.hpp"
#include "plugins/gateway/message_text.hpp"
#include "plugins/gateway/refusal.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

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

constexpr std::size_t read_chunk_bytes = 8192;
constexpr int accept_backlog = 1024;
// Unanswered requests that are read from one connection; further ones stay in the socket's receive
// buffer.
constexpr std::size_t max_pipelined_requests = 64;
// Unsent bytes of answers from which no further request is read from their connection.
constexpr std::size_t max_unsent_bytes = 262144;
// Memory of a request beside its message: its state, and its places in the tables of the gateway.
constexpr std::size_t memory_of_exchange = 1024;
// Time for which a caller may take nothing of an answer before it is cut off, and time for it to
// close the connection after the last answer.
constexpr auto write_timeout = std::chrono::seconds(10);
// Bytes of an answer in parts that wait for the caller before reading from the server pauses.
constexpr std::size_t max_stream_backlog = 131072;
// Multiple of the memory for answers above which new requests are refused. Answers that were
// already running when the memory was used up need some more of it.
constexpr std::size_t max_answer_overrun = 2;
// Bytes of answers that are handed to the socket together.
constexpr std::size_t max_written_at_once = 65536;
constexpr auto linger_timeout = std::chrono::seconds(1);
// Time without use after which a drain closes a connection: longer than the first request of a new
// connection, or one that was sent before the caller knew of the drain, is on its way.
constexpr auto min_unused_time = milliseconds(500);
// Time for a request to arrive completely, from its first byte, once its header has been read;
// until then the configured header time applies.
constexpr auto body_timeout = std::chrono::seconds(30);
constexpr auto sweep_interval = milliseconds(500);
constexpr auto accept_retry_delay = milliseconds(100);
// Maximum number of log lines per second for invalid HTTP requests, so that many of them do not
// fill the log.
constexpr double unreadable_log_lines_per_second = 10;
// A connection whose peer acknowledges nothing for this time is considered broken.
constexpr auto caller_silence_limit = std::chrono::seconds(5);

// Cause of closing a connection whose answer broke off, for logs and metric labels.
constexpr std::string_view broken_off_cause = "answer_broke_off";

class session;

/// The open connections and what they do, in the same order.
struct session_list
{
    std::vector<std::shared_ptr<session>> sessions;
    std::vector<http::connection_state> states;
};

} // namespace

struct caller_server::implementation : std::enable_shared_from_this<implementation>
{
    implementation(kernel::event_loop& own_loop,
                   kernel::metrics& metrics,
                   interface::message_headers const& header_names,
                   caller_server_limits const& own_limits,
                   answer_memory& answers,
                   caller_server_events callbacks)
        : loop(own_loop)
        , counters(metrics)
        , names(header_names)
        , resource_limits(own_limits)
        , memory(answers)
        , events(std::move(callbacks))
        , acceptor(own_loop.context())
    {
    }

    void listen(kernel::endpoint const& own);
    void accept();
    void accept_later();
    /// Closes the connection that can best be spared.
    /// @returns whether there was one.
    bool close_one();
    /// Accepts the connections that are established but not accepted yet.
    void accept_pending();
    void open_session(tcp::socket&& socket);
    void sweep();
    /// @returns owning pointers to all sessions: closing a session may destroy it and remove it
    /// from the set.
    [[nodiscard]] std::vector<std::shared_ptr<session>> open_sessions() const;
    [[nodiscard]] session_list list_sessions() const;
    [[nodiscard]] bool is_memory_used_up() const
    {
        return held_bytes > resource_limits.held_bytes ||
               memory.held > memory.limit * max_answer_overrun;
    }
    void count_closed(std::string_view cause) const;
    /// @returns the connection of an unanswered request, or null. Answering may remove the entry,
    /// so the pointer is a copy.
    [[nodiscard]] std::shared_ptr<session> session_of(gateway_request const& request) const
    {
        auto const found = waiting.find(request.number);
        return found == waiting.end() ? nullptr : found->second;
    }

    kernel::event_loop& loop;
    kernel::metrics& counters;
    interface::message_headers names;
    caller_server_limits resource_limits;
    answer_memory& memory;
    /// Bytes of requests that are being read or await their answers.
    std::size_t held_bytes = 0;
    caller_server_events events;
    tcp::acceptor acceptor;
    routing::caller_limits limits;
    std::unordered_set<session*> sessions;
    /// Connections of the unanswered requests, by the number of the request.
    std::unordered_map<std::uint64_t, std::shared_ptr<session>> waiting;
    std::uint64_t last_number = 0;
    bool is_draining = false;
    kernel::log_limiter unreadable_log_limiter{unreadable_log_lines_per_second};
};

namespace
{

std::string address_of(tcp::socket const& socket)
{
    error_code failure;
    auto const remote = socket.remote_endpoint(failure);
    return failure ? std::string() : remote.address().to_string();
}

/// One connection of a caller.
class session : public std::enable_shared_from_this<session>
{
public:
    using shared_state = caller_server::implementation;

    session(std::shared_ptr<shared_state> owner, tcp::socket&& socket)
        : m_shared(std::move(owner))
        , m_socket(std::move(socket))
        , m_caller_address(address_of(m_socket))
        , m_output_claim(m_shared->memory)
        , m_active_at(kernel::monotonic_now())
    {
        m_shared->sessions.insert(this);
    }

    ~session()
    {
        // A socket that is destroyed open closes in an orderly way, whatever its options.
        close_socket();
        release(m_held_bytes);
        m_shared->sessions.erase(this);
    }

    session(session const&) = delete;
    session& operator=(session const&) = delete;

    void read()
    {
        // Reading goes on after the last request, to notice when the caller disconnects.
        if (m_is_reading || !m_socket.is_open() || (!m_is_last && !may_take_request()))
            return;
        m_is_reading = true;
        m_socket.async_read_some(m_buffer.prepare(read_chunk_bytes),
                                 [self = shared_from_this()](error_code failure, std::size_t bytes)
                                 {
                                     self->m_is_reading = false;
                                     self->on_read(failure, bytes);
                                 });
    }

    void reply(request_pointer const& request, answer&& response)
    {
        if (auto* const open = find_exchange(request))
        {
            open->claim->set(response.body.size());
            open->response = std::move(response);
        }
        write();
    }

    void
    begin_stream(request_pointer const& request, answer&& head, std::optional<std::uint64_t> length)
    {
        auto* const open = find_exchange(request);
        if (open == nullptr)
            return;
        open->response = std::move(head);
        auto& stream = open->stream.emplace();
        stream.length = length.value_or(0);
        if (length)
            stream.framing = stream_framing::length;
        else if (!request->message.accepts_chunks)
            stream.framing = stream_framing::connection;
    }

    bool stream(request_pointer const& request, std::string&& part)
    {
        auto* const open = find_exchange(request);
        if (open == nullptr || !open->stream)
            return true;
        auto& stream = *open->stream;
        stream.pending += serialize_part(std::move(part), stream.framing);
        open->claim->set(stream.pending.size());
        // The exchange may be gone after writing, but only if its stream has ended.
        bool const is_first = open == &m_exchanges.front();
        stream.is_paused =
            stream.pending.size() + (is_first ? m_output.size() : 0) >= max_backlog();
        bool const may_continue = !stream.is_paused;
        write();
        return may_continue;
    }

    void end_stream(request_pointer const& request)
    {
        auto* const open = find_exchange(request);
        if (open == nullptr || !open->stream)
            return;
        open->stream->is_complete = true;
        open->stream->pending += stream_end(open->stream->framing);
        write();
        pass_on_deferred();
    }

    void break_stream(request_pointer const& request, answer&& replacement)
    {
        auto* const open = find_exchange(request);
        if (open == nullptr || !open->stream)
            return;
        if (open->stream->is_head_sent)
            return break_off();
        open->stream.reset();
        reply(request, std::move(replacement));
        pass_on_deferred();
    }

    /// @returns whether a request behind this one has been passed on or answered.
    [[nodiscard]] bool has_requests_behind(request_pointer const& request) const
    {
        // Only the last ones are deferred.
        auto const last = std::find_if(m_exchanges.rbegin(),
                                       m_exchanges.rend(),
                                       [](exchange const& open)
                                       {
                                           return !open.is_deferred;
                                       });
        return last != m_exchanges.rend() && last->request != request;
    }

    [[nodiscard]] bool is_open() const
    {
        return m_socket.is_open();
    }

    void close(std::string_view cause)
    {
        if (!m_socket.is_open())
            return;
        m_is_last = true;
        m_shared->count_closed(cause);
        close_socket();
    }

    [[nodiscard]] http::connection_state state() const
    {
        auto const since = is_busy() || !has_partial_request() ? m_active_at : m_request_began_at;
        return {current_use(), since, m_held_bytes, m_request_began_at, unsent_bytes()};
    }

    [[nodiscard]] bool is_busy() const
    {
        return !m_exchanges.empty() || m_is_writing;
    }

    /// Closes the connection if it has carried nothing for a while and no request is on its way.
    void close_if_unused(kernel::monotonic_time now)
    {
        if (!is_busy() && !m_is_last && !has_partial_request() &&
            now - m_active_at >= min_unused_time)
            close_unused();
    }

    void close_if_overdue(kernel::monotonic_time now)
    {
        if (m_may_have_backlog)
            update_silence_limit();
        auto const idle = now - m_active_at;
        if (m_is_lingering)
            return idle > linger_timeout ? close("lingered") : void();
        if (m_is_writing)
            return idle > write_timeout ? abandon("slow_reader") : void();
        if (!m_exchanges.empty())
            return;
        if (!has_partial_request())
            return idle > m_shared->limits.idle_time ? close_unused() : void();
        auto const limit = m_parser && m_parser->is_header_done()
                               ? kernel::duration(body_timeout)
                               : kernel::duration(m_shared->limits.header_time);
        if (now - m_request_began_at > limit)
            close("slow_request");
    }

private:
    [[nodiscard]] exchange* find_exchange(request_pointer const& request)
    {
        auto const found = std::find_if(m_exchanges.begin(),
                                        m_exchanges.end(),
                                        [&request](exchange const& open)
                                        {
                                            return open.request == request;
                                        });
        return found == m_exchanges.end() ? nullptr : &*found;
    }

    /// @returns the bytes of a stream that may wait for the caller before reading pauses.
    [[nodiscard]] std::size_t max_backlog() const
    {
        return is_exhausted(m_shared->memory) ? 0 : max_stream_backlog;
    }

    [[nodiscard]] http::connection_use current_use() const
    {
        using http::connection_use;
        if (m_is_lingering)
            return connection_use::ending;
        if (is_busy())
            return m_is_writing ? connection_use::sending : connection_use::running;
        if (!has_partial_request())
            return connection_use::idle;
        return m_parser && m_parser->is_header_done() ? connection_use::receiving_body
                                                      : connection_use::receiving_head;
    }

    [[nodiscard]] bool has_partial_request() const
    {
        return m_buffer.size() > 0 || (m_parser && m_parser->got_some());
    }

    // Cancels the pending read, whose end tells whether a request has arrived meanwhile.
    void close_unused()
    {
        if (!m_is_reading || std::exchange(m_is_closing_unused, true))
            return;
        error_code ignored;
        m_socket.cancel(ignored);
    }

    /// Handles the end of a read that close_unused() cancelled.
    /// @returns whether nothing is left to do: the connection closes, or is read again.
    [[nodiscard]] bool finish_closing_unused(error_code read_result)
    {
        if (!std::exchange(m_is_closing_unused, false) ||
            read_result != asio::error::operation_aborted || !m_socket.is_open())
            return false;
        error_code failure;
        if (m_socket.available(failure) > 0 || failure)
        {
            read();
            return true;
        }
        m_is_last = true;
        m_is_lingering = true;
        m_active_at = kernel::monotonic_now();
        m_socket.shutdown(tcp::socket::shutdown_send, failure);
        // A request that crosses this close stays unread, so that its caller may send it again.
        m_socket.async_wait(tcp::socket::wait_read,
                            [self = shared_from_this()](error_code)
                            {
                                self->close("unused");
                            });
        return true;
    }

    void on_read(error_code failure, std::size_t bytes)
    {
        if (finish_closing_unused(failure))
            return;
        if (m_is_lingering)
            return failure ? close("closed") : discard();
        if (failure)
            return abandon(cause_of_end(failure));
        if (!m_is_last)
            accept_input(bytes);
        read();
    }

    void accept_input(std::size_t bytes)
    {
        m_active_at = kernel::monotonic_now();
        if (!has_partial_request())
            m_request_began_at = m_active_at;
        m_buffer.commit(bytes);
        hold(m_held_bytes + bytes);
        if (!make_room())
            return refuse(refusal::no_memory);
        parse();
    }

    // Sets the memory of the request that is being read.
    void hold(std::size_t bytes)
    {
        m_shared->held_bytes = m_shared->held_bytes - m_held_bytes + bytes;
        m_held_bytes = bytes;
    }

    void release(std::size_t bytes)
    {
        m_shared->held_bytes -= bytes;
    }

    // @returns whether a body may be read; one that is certain not to fit is refused before that.
    [[nodiscard]] bool fits(boost::optional<std::uint64_t> const& length) const
    {
        auto const others = m_shared->held_bytes - m_held_bytes;
        return !length || others + *length <= m_shared->resource_limits.held_bytes;
    }

    // Frees memory at the expense of callers that hold it for long.
    // @returns whether a request may be added to what is held.
    [[nodiscard]] bool make_room()
    {
        if (!m_shared->is_memory_used_up())
            return true;
        auto const now = kernel::monotonic_now();
        auto const all = m_shared->list_sessions();
        auto const largest = http::choose_request_to_refuse(all.states, now);
        // The caller of this function refuses the request of its own connection.
        if (largest && all.sessions[*largest].get() != this)
            all.sessions[*largest]->refuse(refusal::no_memory);
        if (auto const slow = http::choose_slow_reader(all.states, now);
            slow && is_exhausted(m_shared->memory))
            all.sessions[*slow]->abandon("slow_reader");
        return !m_shared->is_memory_used_up();
    }

    [[nodiscard]] bool may_take_request() const
    {
        return !m_is_last && m_exchanges.size() < max_pipelined_requests &&
               unsent_bytes() < max_unsent_bytes;
    }

    [[nodiscard]] std::size_t unsent_bytes() const
    {
        return m_output.size() + claimed_bytes(m_exchanges);
    }

    void parse()
    {
        parse_input();
        hold(m_buffer.size() + (m_parser ? m_parser->memory() : 0));
    }

    void parse_input()
    {
        while (m_buffer.size() > 0 && may_take_request())
        {
            if (!m_parser)
                start_parser();
            error_code failure;
            bool const was_in_head = !m_parser->is_header_done();
            auto const used = m_parser->put_bounded(m_buffer.data(), failure);
            m_buffer.consume(used);
            if (failure == http_library::error::need_more)
                return offer_to_continue();
            if (failure)
                return refuse(to_refusal(failure));
            if (was_in_head && m_parser->is_header_done() && !fits(m_parser->content_length()))
                return refuse(refusal::no_memory);
            if (m_parser->is_done())
                take_request();
            else if (used == 0)
                return;
        }
        offer_to_continue();
    }

    void start_parser()
    {
        m_parser.emplace(
            http::parser_limits{m_shared->limits.header_bytes, m_shared->limits.body_bytes});
        m_has_continued = false;
    }

    // A caller that sent `Expect: 100-continue` may wait for this answer before it sends the body.
    void offer_to_continue()
    {
        if (!m_parser || !m_parser->is_header_done() || m_has_continued || is_busy())
            return;
        if (!expects_continue(m_parser->head()))
            return;
        m_has_continued = true;
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }

    void take_request()
    {
        constexpr unsigned http_1_1 = 11;
        // Without chunks an answer of unknown length ends with its connection.
        auto& head = m_parser->head();
        m_is_last = !m_parser->keep_alive() || head.version < http_1_1;
        auto request = std::make_shared<gateway_request>();
        request->number = ++m_shared->last_number;
        request->caller_address = m_caller_address;
        request->message = to_request(std::move(head), std::move(m_parser->body()));
        m_parser.reset();
        auto const& headers = request->message.headers;
        auto const& names = m_shared->names;
        request->id = find_header_value(headers, names.request_id);
        auto const key = find_cookie(find_header_value(headers, "Cookie"), names.affinity_cookie);
        if (!key.empty())
            request->affinity_key = hash_text(key);
        request->key = customer::read_key(find_header_values(headers, names.credentials),
                                          names.credentials_scheme);
        request->arrived_at = m_request_began_at;
        request->caller_deadline =
            m_request_began_at + parse_deadline(find_header_value(headers, names.remaining_ms));
        m_request_began_at = m_active_at;
        hold(m_buffer.size());
        auto const held = memory_of(request->message) + memory_of_exchange;
        m_shared->held_bytes += held;
        if (!make_room())
        {
            release(held);
            return refuse(refusal::no_memory);
        }
        bool const is_deferred = has_open_stream();
        auto& added = add_exchange(request, held);
        added.is_head = request->message.method == "HEAD";
        added.is_deferred = is_deferred;
        if (!is_deferred)
            pass_on(request);
    }

    /// @returns whether an answer of this connection is on its way in parts.
    [[nodiscard]] bool has_open_stream() const
    {
        return std::any_of(m_exchanges.begin(),
                           m_exchanges.end(),
                           [](exchange const& open)
                           {
                               return open.stream && !open.stream->is_complete;
                           });
    }

    void pass_on(request_pointer const& request)
    {
        m_shared->waiting.emplace(request->number, shared_from_this());
        m_shared->events.request_received(request);
    }

    void pass_on_deferred()
    {
        if (has_open_stream())
            return;
        std::vector<request_pointer> deferred;
        for (auto& open : m_exchanges)
        {
            if (std::exchange(open.is_deferred, false))
                deferred.push_back(open.request);
        }
        // Passing on may answer a request at once, which removes its exchange.
        for (auto const& request : deferred)
            pass_on(request);
    }

    void refuse(refusal cause)
    {
        m_shared->counters
            .find_counter("pistachiohub_gateway_refusals_total", {"reason", to_string(cause)})
            .increment();
        if (m_shared->unreadable_log_limiter.admit(kernel::monotonic_now()))
            kernel::log_event(kernel::log_level::info,
                              "gateway",
                              "request_unreadable",
                              {{"reason", to_string(cause)},
                               {"suppressed", m_shared->unreadable_log_limiter.take_suppressed()}});
        m_is_last = true;
        m_parser.reset();
        m_buffer.clear();
        hold(0);
        add_exchange(nullptr, 0).response = make_refusal(cause, std::nullopt);
        write();
    }

    exchange& add_exchange(request_pointer const& request, std::size_t held)
    {
        auto& added = m_exchanges.emplace_back();
        added.request = request;
        added.held_bytes = held;
        added.claim = std::make_unique<memory_claim>(m_shared->memory);
        return added;
    }

    void write()
    {
        if (m_is_writing)
            return;
        std::string text;
        while (!m_exchanges.empty() && m_exchanges.front().response &&
               text.size() < max_written_at_once)
        {
            auto& front = m_exchanges.front();
            append_answer(text, front);
            if (!is_answered(front))
                break;
            if (front.request)
                m_shared->waiting.erase(front.request->number);
            release(front.held_bytes);
            m_exchanges.pop_front();
        }
        if (!text.empty())
            send(std::move(text));
        else if (m_is_last && m_exchanges.empty() && !m_is_lingering)
            linger();
    }

    /// Appends what is ready of the first answer.
    void append_answer(std::string& text, exchange& front)
    {
        bool const is_only = m_exchanges.size() == 1;
        bool const is_begun = front.stream && front.stream->is_head_sent;
        if (!is_begun && m_shared->is_draining && is_only && !has_partial_request())
            m_is_last = true;
        bool const is_last = m_is_last && is_only;
        if (!front.stream)
        {
            text += serialize_answer(*front.response, front.is_head, is_last);
            return;
        }
        auto& stream = *front.stream;
        if (!std::exchange(stream.is_head_sent, true))
        {
            m_is_close_delimited = stream.framing == stream_framing::connection;
            text += serialize_stream_head(*front.response, stream.framing, stream.length, is_last);
        }
        text += std::exchange(stream.pending, {});
        front.claim->set(0);
    }

    void send(std::string text)
    {
        m_output = std::move(text);
        m_output_claim.set(m_output.size());
        m_is_writing = true;
        m_active_at = kernel::monotonic_now();
        // A caller that reads slowly, but does read, is not cut off.
        auto const note_progress = [this](error_code failure, std::size_t) -> std::size_t
        {
            m_active_at = kernel::monotonic_now();
            update_silence_limit();
            return failure ? 0 : max_written_at_once;
        };
        asio::async_write(m_socket,
                          asio::buffer(m_output),
                          note_progress,
                          [self = shared_from_this()](error_code failure, std::size_t)
                          {
                              self->m_is_writing = false;
                              self->m_output.clear();
                              self->m_output.shrink_to_fit();
                              self->m_output_claim.set(0);
                              self->on_written(failure);
                          });
        update_silence_limit();
    }

    void update_silence_limit()
    {
        m_may_have_backlog = http::update_silence_limit(
            m_socket.native_handle(), caller_silence_limit, m_is_silence_allowed);
    }

    void on_written(error_code failure)
    {
        if (failure)
            return abandon("write_failed");
        m_active_at = kernel::monotonic_now();
        if (m_is_broken_off)
            return end_broken_off();
        write();
        resume_stream();
        if (m_is_writing || m_is_lingering)
            return;
        // The buffer may hold requests that arrived while too many were unanswered.
        parse();
        read();
    }

    void resume_stream()
    {
        if (m_exchanges.empty() || !m_exchanges.front().stream)
            return;
        auto& stream = *m_exchanges.front().stream;
        if (!stream.is_paused || m_output.size() > max_stream_backlog / 2)
            return;
        stream.is_paused = false;
        m_shared->events.stream_drained(m_exchanges.front().request);
    }

    // Closes the sending side only. Closing a socket with unread input would reset the connection,
    // and the caller could lose the last answer.
    void linger()
    {
        m_is_last = true;
        m_is_lingering = true;
        m_active_at = kernel::monotonic_now();
        error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        discard();
    }

    void discard()
    {
        m_buffer.clear();
        if (m_is_reading)
            return;
        m_is_reading = true;
        m_socket.async_read_some(m_buffer.prepare(read_chunk_bytes),
                                 [self = shared_from_this()](error_code failure, std::size_t)
                                 {
                                     self->m_is_reading = false;
                                     if (failure)
                                         self->close("closed");
                                     else
                                         self->discard();
                                 });
    }

    // The caller still gets what was written before, which may be the end of an earlier answer.
    void break_off()
    {
        m_is_last = true;
        m_is_broken_off = true;
        drop_exchanges(broken_off_cause);
        if (!m_is_writing)
            end_broken_off();
    }

    void end_broken_off()
    {
        if (m_is_close_delimited)
            return close(broken_off_cause);
        m_shared->count_closed(broken_off_cause);
        linger();
    }

    void abandon(std::string_view cause)
    {
        close(cause);
        drop_exchanges(cause);
    }

    void drop_exchanges(std::string_view cause)
    {
        auto const exchanges = std::exchange(m_exchanges, {});
        release(std::exchange(m_held_bytes, 0));
        for (auto const& open : exchanges)
        {
            release(open.held_bytes);
            if (!open.request)
                continue;
            m_shared->waiting.erase(open.request->number);
            if (!is_answered(open) && !open.is_deferred)
                m_shared->events.caller_disconnected(open.request, cause);
        }
    }

    void close_socket()
    {
        error_code ignored;
        // An orderly close before the end of a body that ends with its connection would look like
        // that end.
        if (m_is_close_delimited && !m_is_lingering)
            m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }

    std::shared_ptr<shared_state> m_shared;
    tcp::socket m_socket;
    std::string m_caller_address;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser> m_parser;
    std::deque<exchange> m_exchanges;
    std::string m_output;
    memory_claim m_output_claim;
    /// Bytes read since the last complete request.
    std::size_t m_held_bytes = 0;
    kernel::monotonic_time m_active_at;
    kernel::monotonic_time m_request_began_at;
    bool m_is_reading = false;
    bool m_is_writing = false;
    /// The kernel may hold bytes that the caller has no room for.
    bool m_may_have_backlog = false;
    /// The limit of silence is suspended.
    bool m_is_silence_allowed = false;
    bool m_has_continued = false;
    /// The connection closes after the answers that are due; no further request is read.
    bool m_is_last = false;
    bool m_is_lingering = false;
    /// An answer broke off after its head; the connection closes when it has been written.
    bool m_is_broken_off = false;
    /// The body of the last answer ends with the connection.
    bool m_is_close_delimited = false;
    /// The read was cancelled to close the connection, unless it has read something.
    bool m_is_closing_unused = false;
};

} // namespace

void caller_server::implementation::listen(kernel::endpoint const& own)
{
    try
    {
        tcp::endpoint const endpoint(asio::ip::make_address(own.address), own.port);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(accept_backlog);
    }
    catch (boost::system::system_error const& failure)
    {
        throw http::listen_error("cannot listen on " + to_string(own) + ": " + failure.what());
    }
}

void caller_server::implementation::accept()
{
    // Callers wait in the backlog until a connection can be spared.
    if (sessions.size() >= resource_limits.connections && !close_one())
        return accept_later();
    acceptor.async_accept(
        [self = shared_from_this()](error_code failure, tcp::socket socket)
        {
            if (failure == asio::error::operation_aborted)
                return;
            if (failure)
            {
                // For example, no file descriptor is free.
                self->count_closed("accept_failed");
                self->close_one();
                return self->accept_later();
            }
            self->open_session(std::move(socket));
            self->accept();
        });
}

void caller_server::implementation::accept_later()
{
    loop.after(accept_retry_delay,
               [self = shared_from_this()]()
               {
                   if (self->acceptor.is_open())
                       self->accept();
               });
}

bool caller_server::implementation::close_one()
{
    auto const all = list_sessions();
    auto const spare = http::choose_connection_to_close(all.states, kernel::monotonic_now());
    if (spare)
        all.sessions[*spare]->close("too_many_connections");
    return spare.has_value();
}

session_list caller_server::implementation::list_sessions() const
{
    session_list result;
    for (auto& one : open_sessions())
    {
        if (!one->is_open())
            continue;
        result.states.push_back(one->state());
        result.sessions.push_back(std::move(one));
    }
    return result;
}

void caller_server::implementation::open_session(tcp::socket&& socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    http::set_silence_limit(socket.native_handle(), caller_silence_limit);
    std::make_shared<session>(shared_from_this(), std::move(socket))->read();
}

void caller_server::implementation::accept_pending()
{
    error_code failure;
    acceptor.non_blocking(true, failure);
    while (!failure && sessions.size() < resource_limits.connections)
    {
        tcp::socket socket(loop.context());
        acceptor.accept(socket, failure);
        if (!failure)
            open_session(std::move(socket));
    }
}

void caller_server::implementation::sweep()
{
    auto const now = kernel::monotonic_now();
    for (auto const& one : open_sessions())
        one->close_if_overdue(now);
}

std::vector<std::shared_ptr<session>> caller_server::implementation::open_sessions() const
{
    std::vector<std::shared_ptr<session>> open;
    open.reserve(sessions.size());
    for (auto* const one : sessions)
        open.push_back(one->shared_from_this());
    return open;
}

void caller_server::implementation::count_closed(std::string_view cause) const
{
    counters.find_counter("pistachiohub_gateway_connections_closed_total", {"reason", cause})
        .increment();
}

caller_server::caller_server(kernel::event_loop& loop,
                             kernel::metrics& counters,
                             kernel::endpoint const& own,
                             interface::message_headers const& names,
                             caller_server_limits const& limits,
                             answer_memory& memory,
                             caller_server_events events)
    : m_implementation(std::make_shared<implementation>(
          loop, counters, names, limits, memory, std::move(events)))
{
    m_implementation->listen(own);
    m_implementation->accept();
    loop.every(sweep_interval,
               [weak = std::weak_ptr(m_implementation)]()
               {
                   if (auto const self = weak.lock())
                       self->sweep();
               });
}

caller_server::~caller_server()
{
    error_code ignored;
    m_implementation->acceptor.close(ignored);
    // Breaks the reference cycle between the shared state and the sessions of unanswered requests.
    m_implementation->waiting.clear();
}

void caller_server::set_limits(routing::caller_limits const& limits)
{
    m_implementation->limits = limits;
}

void caller_server::reply(request_pointer const& request, answer&& response)
{
    if (auto const waiting = m_implementation->session_of(*request))
        waiting->reply(request, std::move(response));
}

void caller_server::begin_stream(request_pointer const& request,
                                 answer&& head,
                                 std::optional<std::uint64_t> length)
{
    if (auto const waiting = m_implementation->session_of(*request))
        waiting->begin_stream(request, std::move(head), length);
}

bool caller_server::stream(request_pointer const& request, std::string&& part)
{
    auto const waiting = m_implementation->session_of(*request);
    return !waiting || waiting->stream(request, std::move(part));
}

void caller_server::end_stream(request_pointer const& request)
{
    if (auto const waiting = m_implementation->session_of(*request))
        waiting->end_stream(request);
}

void caller_server::break_stream(request_pointer const& request, answer&& replacement)
{
    if (auto const waiting = m_implementation->session_of(*request))
        waiting->break_stream(request, std::move(replacement));
}

bool caller_server::has_requests_behind(request_pointer const& request) const
{
    auto const waiting = m_implementation->session_of(*request);
    return waiting && waiting->has_requests_behind(request);
}

void caller_server::drain()
{
    m_implementation->is_draining = true;
}

void caller_server::stop_accepting()
{
    error_code ignored;
    m_implementation->accept_pending();
    m_implementation->acceptor.close(ignored);
}

void caller_server::close_unused()
{
    auto const now = kernel::monotonic_now();
    for (auto const& one : m_implementation->open_sessions())
        one->close_if_unused(now);
}

std::size_t caller_server::open_connections() const
{
    return m_implementation->sessions.size();
}

std::size_t caller_server::held_bytes() const
{
    return m_implementation->held_bytes;
}

} // namespace pistachiohub::gateway
