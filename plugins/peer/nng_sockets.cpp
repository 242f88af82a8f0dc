#include "plugins/peer/nng_sockets.hpp"

#include "kernel/log.hpp"
#include "plugins/peer/bounded_call.hpp"
#include "plugins/peer/pipe_limit.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <cstring>
#include <iterator>
#include <mutex>
#include <system_error>
#include <unordered_set>
#include <utility>

namespace pistachiohub::peer
{

namespace
{

// Messages that wait for one peer. More would delay `never sent` while the peer does not read.
constexpr int send_buffer = 32;
constexpr nng_duration shortest_redial_ms = 100;
constexpr nng_duration longest_redial_ms = 1000;

// Closing takes microseconds, so a longer one does not end.
constexpr auto close_limit = std::chrono::milliseconds(200);

std::string make_url(std::string const& address, std::uint16_t port)
{
    bool const is_ipv6 = address.find(':') != std::string::npos;
    auto const host = is_ipv6 ? '[' + address + ']' : address;
    return "tcp://" + host + ':' + std::to_string(port);
}

nng_socket socket_of(std::uint32_t id)
{
    nng_socket socket{};
    socket.id = id;
    return socket;
}

// FIXME: libnng 1.5.2 sometimes waits for ever for the end of a send on a connection that the other
// side closes at the same time. The socket is then left to its thread: the library has already
// closed its connections, but keeps its memory.
void close_socket(std::uint32_t id)
{
    auto const close = [id]()
    {
        nng_close(socket_of(id));
    };
    try
    {
        if (!ends_within(close, close_limit))
            kernel::log_event(kernel::log_level::warning,
                              "peer",
                              "socket_close_stuck",
                              {{"socket", std::uint64_t{id}}});
    }
    catch (std::system_error const&)
    {
        close();
    }
}

// @returns the address of the other side without its port, or an empty text.
std::string address_of(nng_pipe pipe)
{
    nng_sockaddr remote{};
    if (nng_pipe_get_addr(pipe, NNG_OPT_REMADDR, &remote) != 0)
        return {};
    if (remote.s_family == NNG_AF_INET)
    {
        std::string text(sizeof(remote.s_in.sa_addr), '\0');
        std::memcpy(text.data(), &remote.s_in.sa_addr, text.size());
        return text;
    }
    if (remote.s_family == NNG_AF_INET6)
        return {std::begin(remote.s_in6.sa_addr), std::end(remote.s_in6.sa_addr)};
    return {};
}

void check(int code, std::string_view action, std::string const& url)
{
    if (code != 0)
        throw transport_error(action, url, code);
}

} // namespace

transport_error::transport_error(std::string_view action, std::string const& url, int code)
    : error("cannot " + std::string(action) + " on " + url + ": " + nng_strerror(code))
{
}

/// Closes the connections above the limit of their address. nng calls back on its own threads, also
/// while the socket is being closed and later when that is stuck, so a callback handles only an
/// admission that is still listed.
struct pull_socket::admission
{
    static inline std::mutex admissions_mutex;
    static inline std::unordered_set<admission*> admissions;

    pipe_limit limit;

    admission()
    {
        std::lock_guard const lock(admissions_mutex);
        admissions.insert(this);
    }

    ~admission()
    {
        std::lock_guard const lock(admissions_mutex);
        admissions.erase(this);
    }

    admission(admission const&) = delete;
    admission& operator=(admission const&) = delete;

    static void handle(nng_pipe pipe, nng_pipe_ev event, void* argument)
    {
        std::unique_lock lock(admissions_mutex);
        auto const found = admissions.find(static_cast<admission*>(argument));
        if (found == admissions.end())
            return;
        auto& limit = (*found)->limit;
        if (event == NNG_PIPE_EV_REM_POST)
            return remove_pipe(limit, nng_pipe_id(pipe));
        bool const is_permitted = add_pipe(limit, nng_pipe_id(pipe), address_of(pipe));
        lock.unlock();
        if (!is_permitted)
            nng_pipe_close(pipe);
    }
};

pull_socket::pull_socket(std::string const& address, std::uint16_t port)
    : m_admission(std::make_shared<admission>())
{
    auto const url = make_url(address, port);
    nng_socket socket{};
    check(nng_pull0_open(&socket), "open a socket", url);
    m_socket = socket.id;
    try
    {
        check(nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, largest_transported),
              "set a limit",
              url);
        for (auto const event : {NNG_PIPE_EV_ADD_PRE, NNG_PIPE_EV_REM_POST})
            check(
                nng_pipe_notify(socket, event, admission::handle, m_admission.get()), "watch", url);
        nng_listener listener{};
        check(nng_listen(socket, url.c_str(), &listener, 0), "listen", url);
        int bound_port = 0;
        check(nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &bound_port), "listen", url);
        m_port = static_cast<std::uint16_t>(bound_port);
    }
    catch (...)
    {
        nng_close(socket);
        throw;
    }
}

pull_socket::~pull_socket()
{
    close_socket(m_socket);
}

std::optional<std::vector<std::byte>> pull_socket::receive()
{
    nng_msg* message = nullptr;
    if (nng_recvmsg(socket_of(m_socket), &message, NNG_FLAG_NONBLOCK) != 0)
        return std::nullopt;
    auto const* const begin = static_cast<std::byte const*>(nng_msg_body(message));
    std::vector<std::byte> bytes(begin, begin + nng_msg_len(message));
    nng_msg_free(message);
    return bytes;
}

int pull_socket::readable_descriptor() const
{
    int descriptor = -1;
    check(nng_socket_get_int(socket_of(m_socket), NNG_OPT_RECVFD, &descriptor),
          "poll",
          std::to_string(m_port));
    return descriptor;
}

std::uint16_t pull_socket::port() const
{
    return m_port;
}

struct push_socket::connection_state
{
    std::function<void()> on_change;
    std::atomic<int> connections{0};
    std::atomic<bool> was_lost{false};

    // nng calls back while a socket is being closed, so a callback handles only a state that is
    // still listed. The mutex is held during a callback, and taken before a state is removed.
    static inline std::mutex states_mutex;
    static inline std::unordered_set<connection_state*> states;

    void enlist()
    {
        std::lock_guard const lock(states_mutex);
        states.insert(this);
    }

    void remove()
    {
        std::lock_guard const lock(states_mutex);
        states.erase(this);
    }

    static void handle(nng_pipe /*pipe*/, nng_pipe_ev event, void* argument)
    {
        std::lock_guard const lock(states_mutex);
        auto const found = states.find(static_cast<connection_state*>(argument));
        if (found == states.end())
            return;
        auto& state = **found;
        if (event == NNG_PIPE_EV_ADD_POST)
            state.connections.fetch_add(1);
        else
        {
            state.connections.fetch_sub(1);
            state.was_lost.store(true);
        }
        state.on_change();
    }
};

push_socket::push_socket(std::string const& address,
                         std::uint16_t port,
                         std::function<void()> on_change)
    : m_state(std::make_shared<connection_state>())
{
    auto const url = make_url(address, port);
    m_state->on_change = std::move(on_change);
    nng_socket socket{};
    check(nng_push0_open(&socket), "open a socket", url);
    m_socket = socket.id;
    m_state->enlist();
    try
    {
        for (auto const event : {NNG_PIPE_EV_ADD_POST, NNG_PIPE_EV_REM_POST})
            check(nng_pipe_notify(socket, event, connection_state::handle, m_state.get()),
                  "watch",
                  url);
        check(nng_socket_set_int(socket, NNG_OPT_SENDBUF, send_buffer), "set a limit", url);
        check(nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, shortest_redial_ms), "set a time", url);
        check(nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, longest_redial_ms), "set a time", url);
        check(nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK), "dial", url);
    }
    catch (...)
    {
        m_state->remove();
        nng_close(socket);
        throw;
    }
}

push_socket::~push_socket()
{
    m_state->remove();
    close_socket(m_socket);
}

bool push_socket::send(std::span<std::byte const> bytes)
{
    // With a free send buffer nng accepts a message even when no peer is connected.
    if (!is_connected())
        return false;
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0)
        return false;
    bool const is_sent = nng_msg_append(message, bytes.data(), bytes.size()) == 0 &&
                         nng_sendmsg(socket_of(m_socket), message, NNG_FLAG_NONBLOCK) == 0;
    if (!is_sent)
        nng_msg_free(message);
    return is_sent;
}

bool push_socket::is_connected() const
{
    return !was_lost() && m_state->connections.load() > 0;
}

bool push_socket::was_lost() const
{
    return m_state->was_lost.load();
}

} // namespace pistachiohub::peer
