// Answers that are too large to collect: they pass the gateway in parts, at the pace of the caller,
// and one that breaks off must never look complete.

#include "tests/gateway/gateway_fixture.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <future>
#include <map>
#include <optional>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pistachiohub
{

namespace
{

using namespace gateway_test;

constexpr std::size_t large_bytes = 540'000;

std::string make_body(std::size_t size)
{
    constexpr unsigned letters = 23;
    std::string body(size, ' ');
    for (std::size_t position = 0; position < size; ++position)
        body[position] = static_cast<char>('a' + position / 1000 % letters);
    return body;
}

std::string head_of(std::string const& id, std::string const& framing)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: sig-" + id +
           "\r\n" + framing + "\r\n";
}

std::string as_chunks(std::string_view body, std::size_t chunk_bytes)
{
    std::string text;
    while (!body.empty())
    {
        auto const part = body.substr(0, chunk_bytes);
        body.remove_prefix(part.size());
        std::array<char, 32> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
        text.append(size.data()).append(part).append("\r\n");
    }
    return text;
}

/// @returns the body of a chunked message, or nothing if its last chunk is missing.
std::optional<std::string> read_chunks(std::string_view text)
{
    std::string body;
    while (true)
    {
        auto const line_end = text.find("\r\n");
        if (line_end == std::string_view::npos)
            return std::nullopt;
        auto const size = std::stoul(std::string(text.substr(0, line_end)), nullptr, 16);
        text.remove_prefix(line_end + 2);
        if (size == 0)
            return body;
        if (text.size() < size + 2)
            return std::nullopt;
        body.append(text.substr(0, size));
        text.remove_prefix(size + 2);
    }
}

std::string body_of(std::string const& message)
{
    return message.substr(message.find("\r\n\r\n") + 4);
}

/// Gives a socket little room for input and small segments, as over a real link, for which the
/// kernel of the sender keeps little output too.
void limit_room(int descriptor)
{
    int const room = 4096;
    int const segment = 536;
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &room, sizeof(room));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
}

raw_connection connect_over_slow_link(std::uint16_t port)
{
    auto const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    raw_connection caller(descriptor);
    limit_room(descriptor);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    return caller;
}

/// A listening socket whose connections are as those of connect_over_slow_link().
class slow_link_listener
{
public:
    slow_link_listener()
    {
        limit_room(m_descriptor);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        REQUIRE(::listen(m_descriptor, 8) == 0);
    }

    slow_link_listener(slow_link_listener const&) = delete;
    slow_link_listener& operator=(slow_link_listener const&) = delete;

    ~slow_link_listener()
    {
        ::close(m_descriptor);
    }

    [[nodiscard]] std::uint16_t port() const
    {
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        REQUIRE(::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        return ntohs(address.sin_port);
    }

    [[nodiscard]] raw_connection accept() const
    {
        return raw_connection(::accept(m_descriptor, nullptr, nullptr));
    }

private:
    int m_descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
};

/// How an answer in parts breaks.
struct broken_answer
{
    std::string framing;
    /// Bytes after the first half of the body.
    std::string then;
    enum
    {
        closes,
        resets,
        falls_silent
    } end;
};

class answer_stream_fixture : public gateway_fixture
{
protected:
    explicit answer_stream_fixture(double memory_mb = small_memory_mb)
        : gateway_fixture(true, short_grace, true, memory_mb)
    {
    }

    /// Sends a request and accepts its connection at the backend server.
    std::pair<raw_connection, raw_connection> begin(std::string const& request)
    {
        auto caller = connect();
        caller.send(request);
        auto server = m_server.accept();
        REQUIRE_FALSE(server.receive_message().empty());
        return {std::move(caller), std::move(server)};
    }

    /// Registers a further backend server at the same address.
    void add_second_server()
    {
        push(events::store_update<fleet::backend_server>{
            false, 2, {{"i-2", 2, make_server("i-2", m_server)}}});
    }

    [[nodiscard]] double metric(std::string const& name) const
    {
        auto const text = fetch(m_settings.gateway->metrics.port, "/metrics");
        auto const position = text.find("\n" + name + " ");
        return position == std::string::npos ? 0
                                             : std::stod(text.substr(position + name.size() + 2));
    }
};

/// A gateway whose memory holds some large answers.
class ample_memory_fixture : public answer_stream_fixture
{
protected:
    ample_memory_fixture()
        : answer_stream_fixture(32)
    {
    }
};

} // namespace

TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_stream_with_length_is_delivered_whole",
                 "[gateway][concurrent]")
{
    auto [caller, server] = begin(get("a"));
    auto const body = make_body(large_bytes);
    auto const sent = std::async(std::launch::async,
                                 [&, &backend = server]()
                                 {
                                     backend.send(answer_to("a", body));
                                 });
    auto const answer = caller.receive_message();
    CHECK(has_status(answer, "200"));
    CHECK(answer.find("X-Response-Signature: sig-a\r\n") != std::string::npos);
    CHECK(body_of(answer) == body);
    CHECK(metric("pistachiohub_gateway_streamed_answers_total") == 1);
    // Both connections carry the next request.
    caller.send(get("b"));
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(answer_to("b", "small"));
    CHECK(caller.receive_message().ends_with("small"));
}

TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_stream_of_unknown_length_is_delivered_in_chunks",
                 "[gateway]")
{
    bool const is_chunked = GENERATE(true, false);
    auto [caller, server] = begin(get("a", "Connection: close\r\n"));
    auto const body = make_body(large_bytes);
    auto const sent =
        std::async(std::launch::async,
                   [&, is_chunked, &backend = server]()
                   {
                       if (is_chunked)
                           backend.send(head_of("a", "Transfer-Encoding: chunked\r\n") +
                                        as_chunks(body, 7000) + "0\r\n\r\n");
                       else
                           backend.send(head_of("a", "") + body);
                       if (!is_chunked)
                           backend.close();
                   });
    auto const rest = caller.receive_rest();
    CHECK(rest.bytes.find("Transfer-Encoding: chunked\r\n") != std::string::npos);
    CHECK(read_chunks(body_of(rest.bytes)) == body);
}

// Failure: an answer that broke off halfway reached the caller as a complete success.
TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_stream_that_breaks_off_is_visibly_incomplete",
                 "[gateway][concurrent]")
{
    auto const framing = GENERATE(std::string("Content-Length: 540000\r\n"),
                                  std::string("Transfer-Encoding: chunked\r\n"));
    bool const is_chunked = framing.starts_with('T');
    auto [caller, server] = begin(get("a"));
    auto const body = make_body(large_bytes / 2);
    server.send(head_of("a", framing) + (is_chunked ? as_chunks(body, 7000) : body));
    server.close();
    auto const rest = caller.receive_rest();
    REQUIRE(has_status(rest.bytes, "200"));
    if (is_chunked)
        CHECK_FALSE(read_chunks(body_of(rest.bytes)));
    else
        CHECK(body_of(rest.bytes).size() < large_bytes);
    // The gateway looks whether the server crashed. It must not send the request again, since the
    // caller has a part of the first answer.
    auto probe = m_server.accept();
    CHECK(probe.receive_message().empty());
    CHECK_FALSE(m_server.has_connection(100));
}

// Failure: a download whose first run failed and whose second answer broke off reached the caller
// as a complete success. That the request ran was taken for proof that its answer is whole.
TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_stream_that_breaks_after_a_failed_run_is_visibly_incomplete",
                 "[gateway][concurrent]")
{
    auto const chunked = std::string("Transfer-Encoding: chunked\r\n");
    auto const with_length = std::string("Content-Length: 540000\r\n");
    auto const broken = GENERATE_COPY(
        broken_answer{chunked, "", broken_answer::closes},
        broken_answer{chunked, "", broken_answer::resets},
        broken_answer{chunked, "", broken_answer::falls_silent},
        broken_answer{chunked, "1000\r\npart of a chunk", broken_answer::closes},
        broken_answer{chunked, "no chunk\r\n", broken_answer::falls_silent},
        broken_answer{chunked, "5\r\ntoo long\r\n0\r\n\r\n", broken_answer::closes},
        broken_answer{chunked, "0\r\nX-Trailer: without end\r\n", broken_answer::closes},
        broken_answer{chunked, "HTTP/1.1 200 OK\r\n\r\n", broken_answer::closes},
        broken_answer{with_length, "", broken_answer::closes},
        broken_answer{with_length, "", broken_answer::resets},
        broken_answer{with_length, "", broken_answer::falls_silent},
        broken_answer{"", "", broken_answer::resets},
        broken_answer{"", "", broken_answer::falls_silent});
    INFO(broken.framing << broken.then << " end " << broken.end);
    add_second_server();
    auto [caller, first] = begin(get("a"));
    first.send("HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: a\r\n"
               "X-Response-Signature: s\r\nContent-Length: 0\r\n\r\n");
    auto second = m_server.accept();
    REQUIRE_FALSE(second.receive_message().empty());
    auto const half = make_body(large_bytes / 2);
    second.send(head_of("a", broken.framing) +
                (broken.framing == chunked ? as_chunks(half, 7000) : half) + broken.then);
    // What a reset overtakes is lost on the way.
    REQUIRE(support::eventually(
        [this]()
        {
            return metric("pistachiohub_gateway_streamed_answers_total") == 1;
        }));
    if (broken.end == broken_answer::resets)
        second.reset();
    else if (broken.end == broken_answer::closes)
        second.close();
    auto const rest = caller.receive_rest();
    REQUIRE(has_status(rest.bytes, "200"));
    // Else the next answer would stand where the rest of this one is due.
    CHECK(caller.is_closed_by_peer());
    if (broken.framing == with_length)
        CHECK(body_of(rest.bytes).size() < large_bytes);
    else
        CHECK_FALSE(read_chunks(body_of(rest.bytes)));
}

// A caller that knows no chunks takes the close for the end, so only a reset shows the fault.
TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_stream_that_breaks_off_resets_a_caller_without_chunks",
                 "[gateway]")
{
    auto [caller, server] = begin("GET /i/a HTTP/1.0\r\nHost: a.example\r\nX-Attempt-Id: a\r\n"
                                  "X-Deadline-Ms: 3000\r\n\r\n");
    server.send(head_of("a", "Transfer-Encoding: chunked\r\n") +
                as_chunks(make_body(large_bytes / 2), 7000));
    CHECK(support::eventually(
        [this]()
        {
            return metric("pistachiohub_gateway_streamed_answers_total") == 1;
        }));
    server.close();
    CHECK(caller.receive_rest().is_reset);
}

// Failure: a caller without chunks waited for the end of its answer until the idle time, and then
// got a reset. Nothing was left to write when the end of the answer arrived.
TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_stream_that_ends_late_closes_for_a_caller_without_chunks",
                 "[gateway]")
{
    auto [caller, server] = begin("GET /i/a HTTP/1.0\r\nHost: a.example\r\nX-Attempt-Id: a\r\n"
                                  "X-Deadline-Ms: 3000\r\n\r\n");
    auto const body = make_body(large_bytes / 4);
    server.send(head_of("a", "Transfer-Encoding: chunked\r\n") + as_chunks(body, 7000));
    REQUIRE(support::eventually(
        [this]()
        {
            return metric("pistachiohub_gateway_streamed_answers_total") == 1 &&
                   metric("pistachiohub_gateway_answer_bytes") == 0;
        }));
    server.send("0\r\n\r\n");
    auto const ended_at = std::chrono::steady_clock::now();
    auto const rest = caller.receive_rest();
    CHECK(std::chrono::steady_clock::now() - ended_at < milliseconds(1000));
    CHECK_FALSE(rest.is_reset);
    CHECK(body_of(rest.bytes) == body);
}

// The same holds for a whole answer that its caller has not taken when the process ends.
TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_stream_that_a_stop_cuts_resets_a_caller_without_chunks",
                 "[gateway]")
{
    auto [caller, server] = begin("GET /i/a HTTP/1.0\r\nHost: a.example\r\nX-Attempt-Id: a\r\n"
                                  "X-Deadline-Ms: 3000\r\n\r\n");
    server.send(head_of("a", "Transfer-Encoding: chunked\r\n"));
    auto const part = as_chunks(make_body(65'536), 65'536);
    auto const has_backlog = [this]()
    {
        return !support::eventually(
            [this]()
            {
                return metric("pistachiohub_gateway_answer_bytes") == 0;
            },
            milliseconds(50));
    };
    // More than the caller's and the gateway's sockets hold, and less than pauses the server.
    while (!has_backlog())
        server.send(part);
    server.send("0\r\n\r\n");
    REQUIRE(support::eventually(
        [this]()
        {
            return take_settled().size() == 1;
        }));
    m_running.reset();
    m_gateway.reset();
    CHECK(caller.receive_rest().is_reset);
}

TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_stream_whose_caller_leaves_ends_the_run",
                 "[gateway]")
{
    auto [caller, server] = begin(get("a"));
    server.send(head_of("a", "Content-Length: 540000\r\n") + make_body(large_bytes / 2));
    CHECK(support::eventually(
        [this]()
        {
            return metric("pistachiohub_gateway_streamed_answers_total") == 1;
        }));
    caller.close();
    CHECK(server.is_closed_by_peer());
}

// Pipelined answers keep their order also when a later one is large and ready first.
TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_stream_behind_a_pending_answer_waits_for_its_turn",
                 "[gateway]")
{
    auto caller = connect();
    caller.send(get("a") + get("b"));
    auto one = m_server.accept();
    auto two = m_server.accept();
    bool const one_has_a = one.receive_message().starts_with("GET /i/a ");
    REQUIRE_FALSE(two.receive_message().empty());
    auto& with_a = one_has_a ? one : two;
    auto& with_b = one_has_a ? two : one;
    auto const body = make_body(large_bytes);
    auto const sent = std::async(std::launch::async,
                                 [&]()
                                 {
                                     with_b.send(answer_to("b", body));
                                 });
    CHECK(support::eventually(
        [this]()
        {
            return metric("pistachiohub_gateway_streamed_answers_total") == 1;
        }));
    with_a.send(answer_to("a", "first"));
    CHECK(caller.receive_message().ends_with("first"));
    CHECK(body_of(caller.receive_message()) == body);
}

// Failure: a large answer broke off, and the requests behind it on its connection, which sound
// servers had run, got no answer.
TEST_CASE_METHOD(ample_memory_fixture,
                 "answer_stream_that_breaks_off_leaves_the_answers_behind_it",
                 "[gateway][concurrent]")
{
    bool const is_chunked = GENERATE(true, false);
    auto caller = connect();
    caller.send(get("a") + get("b") + get("c"));
    std::map<std::string, raw_connection> servers;
    for (int count = 0; count < 3; ++count)
    {
        auto server = m_server.accept();
        auto const id = server.receive_message().substr(std::string_view("GET /i/").size(), 1);
        servers.emplace(id, std::move(server));
    }
    auto const half = make_body(large_bytes / 4);
    servers.at("a").send(
        head_of("a", is_chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: 540000\r\n") +
        (is_chunked ? as_chunks(half, 7000) : half));
    servers.at("b").send(answer_to("b", "second"));
    servers.at("c").send(answer_to("c", "third"));
    REQUIRE(support::eventually(
        [this]()
        {
            return metric("pistachiohub_gateway_answer_bytes") > 0;
        }));
    servers.at("a").close();
    CHECK(has_status(caller.receive_message(), "502"));
    CHECK(caller.receive_message().ends_with("second"));
    CHECK(caller.receive_message().ends_with("third"));
}

// Failure: as above, for a large answer that broke off before its turn.
TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_stream_that_breaks_off_before_its_turn_leaves_the_answer_before_it",
                 "[gateway]")
{
    auto caller = connect();
    caller.send(get("a"));
    auto one = m_server.accept();
    REQUIRE_FALSE(one.receive_message().empty());
    caller.send(get("b"));
    auto two = m_server.accept();
    REQUIRE_FALSE(two.receive_message().empty());
    // Less than pauses the server.
    two.send(head_of("b", "Content-Length: 540000\r\n") + make_body(large_bytes / 8));
    REQUIRE(support::eventually(
        [this]()
        {
            return metric("pistachiohub_gateway_streamed_answers_total") == 1;
        }));
    two.close();
    auto probe = m_server.accept();
    one.send(answer_to("a", "first"));
    CHECK(caller.receive_message().ends_with("first"));
    CHECK(has_status(caller.receive_message(), "502"));
    // The connection carries the next request.
    caller.send(get("c"));
    REQUIRE_FALSE(one.receive_message().empty());
    one.send(answer_to("c", "next"));
    CHECK(caller.receive_message().ends_with("next"));
}

// Failure: as above, for requests that arrive while the large answer is on its way.
TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_stream_holds_the_requests_behind_it_until_it_is_whole",
                 "[gateway]")
{
    bool const is_whole = GENERATE(true, false);
    auto [caller, server] = begin(get("a"));
    auto const body = make_body(large_bytes);
    server.send(head_of("a", "Content-Length: 540000\r\n") + body.substr(0, large_bytes / 2));
    REQUIRE(support::eventually(
        [this]()
        {
            return metric("pistachiohub_gateway_streamed_answers_total") == 1;
        }));
    caller.send(get("b"));
    CHECK_FALSE(m_server.has_connection(200));
    if (!is_whole)
    {
        server.close();
        CHECK(body_of(caller.receive_rest().bytes).size() < large_bytes);
        // The gateway looks whether the server crashed.
        auto probe = m_server.accept();
        CHECK(probe.receive_message().empty());
        CHECK_FALSE(m_server.has_connection(200));
        return;
    }
    auto const sent = std::async(std::launch::async,
                                 [&, &backend = server]()
                                 {
                                     backend.send(body.substr(large_bytes / 2));
                                 });
    CHECK(body_of(caller.receive_message()) == body);
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(answer_to("b", "second"));
    CHECK(caller.receive_message().ends_with("second"));
}

// Failure: a caller that read nothing for some seconds lost its connection and the rest of its
// answer. The kernel counts the time without room at a living peer as silence.
TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_stream_to_a_caller_that_pauses_is_delivered_whole",
                 "[gateway]")
{
    auto [caller, server] = begin(get("a"));
    auto const body = make_body(large_bytes);
    auto const sent = std::async(std::launch::async,
                                 [&, &backend = server]()
                                 {
                                     backend.send(answer_to("a", body));
                                 });
    // Longer than the limit of silence, and shorter than the time for a caller to take something.
    std::this_thread::sleep_for(milliseconds(7000));
    CHECK(body_of(caller.receive_message()) == body);
}

// Load pattern: many callers with slow links fetch large answers at once. The memory of the answers
// is bounded by the settings, whatever their number and size, and each is complete in the end.
TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_streams_to_slow_callers_keep_within_the_memory",
                 "[gateway]")
{
    constexpr std::size_t bytes_each = 6'000'000;
    constexpr int callers = 4;
    // A quarter of one megabyte, and what was read before it was used up: one part a connection and
    // one write each.
    constexpr double memory_limit = 250'000 + callers * (16'384 + 65'536 + 16'384);
    std::vector<std::pair<raw_connection, raw_connection>> pairs;
    std::vector<std::future<void>> sends;
    auto const body = make_body(bytes_each);
    for (int number = 0; number < callers; ++number)
        pairs.push_back(begin(get("id" + std::to_string(number))));
    for (int number = 0; number < callers; ++number)
        sends.push_back(
            std::async(std::launch::async,
                       [&body, &backend = pairs[static_cast<std::size_t>(number)].second, number]()
                       {
                           backend.send(answer_to("id" + std::to_string(number), body));
                       }));
    double most = 0;
    for (int sample = 0; sample < 20; ++sample)
    {
        most = std::max(most, metric("pistachiohub_gateway_answer_bytes"));
        std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(most > 0);
    CHECK(most <= memory_limit);
    for (auto& [caller, server] : pairs)
        CHECK(body_of(caller.receive_message()) == body);
    CHECK(support::eventually(
        [this]()
        {
            return metric("pistachiohub_gateway_answer_bytes") == 0;
        }));
}

// A backend server in trouble may send bytes without end. The connection is closed at the limit,
// the caller of an at-most-once request gets a 502, and nothing of it stays in memory.
TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_without_end_is_cut_at_a_limit",
                 "[gateway][concurrent]")
{
    auto const id_and_signature = std::string("X-Attempt-Id: a\r\nX-Response-Signature: s\r\n");
    auto const [start, repeated] = GENERATE_COPY(
        // A head, interim answers, a chunk extension, a body that no server proves to be an answer,
        // a failure, a refusal, and an answer to another request.
        std::pair<std::string, std::string>("HTTP/1.1 200 OK\r\n", "X-More: more\r\n"),
        std::pair<std::string, std::string>("HTTP/1.1 200 OK\r\nX-More: ", "more"),
        std::pair<std::string, std::string>("", "HTTP/1.1 100 Continue\r\n\r\n"),
        std::pair<std::string, std::string>("HTTP/1.1 200 OK\r\n" + id_and_signature +
                                                "Transfer-Encoding: chunked\r\n\r\n5;",
                                            "more;"),
        std::pair<std::string, std::string>("HTTP/1.1 200 OK\r\n\r\n", "more"),
        std::pair<std::string, std::string>("", "more"),
        std::pair<std::string, std::string>(
            "HTTP/1.1 500 Internal Server Error\r\n" + id_and_signature + "\r\n", "more"),
        std::pair<std::string, std::string>(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Signature: s\r\n"
            "Content-Length: 1000000000\r\n\r\n",
            "more"));
    auto [caller, server] = begin(post("a", "b"));
    server.send(start);
    std::string block;
    while (block.size() < 4096)
        block += repeated;
    // Well before the deadline of the request at 2 s.
    CHECK(server.send_until_closed(block, 1500).has_value());
    CHECK(has_status(caller.receive_message(), "502"));
    CHECK(metric("pistachiohub_gateway_answer_bytes") == 0);
}

// Trailers after a streamed body, and a body that goes on: the caller sees an answer that broke
// off, at the latest when the time of its request is up.
TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_stream_without_end_breaks_off_by_the_deadline",
                 "[gateway]")
{
    auto const [start, repeated] =
        GENERATE(std::pair<std::string, std::string>(
                     as_chunks(make_body(large_bytes), 7000) + "0\r\n", "X-More: more\r\n"),
                 std::pair<std::string, std::string>("", "5\r\nmore!\r\n"));
    auto [caller, server] = begin(get("a"));
    auto rest = std::async(std::launch::async,
                           [&from = caller]()
                           {
                               return from.receive_rest();
                           });
    server.send(head_of("a", "Transfer-Encoding: chunked\r\n") + start);
    std::string block;
    while (block.size() < 4000)
        block += repeated;
    CHECK(server.send_until_closed(block, 3500).has_value());
    auto const received = rest.get();
    CHECK(has_status(received.bytes, "200"));
    CHECK_FALSE(received.bytes.ends_with("0\r\n\r\n"));
    CHECK(metric("pistachiohub_gateway_answer_bytes") == 0);
}

// A body without end to a caller that takes nothing of it: the gateway reads no further than a
// bound, and ends the run when the time of the request is up.
TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_stream_without_end_to_a_caller_that_reads_nothing_keeps_a_bound",
                 "[gateway]")
{
    // A quarter of one megabyte, and one part and one write beyond it.
    constexpr double max_answer_bytes = 250'000 + 16'384 + 65'536 + 16'384;
    auto [caller, server] = begin(get("a"));
    server.send(head_of("a", ""));
    auto sent = std::async(std::launch::async,
                           [&to = server]()
                           {
                               return to.send_until_closed(std::string(65536, 'x'), 4500);
                           });
    double most = 0;
    while (sent.wait_for(milliseconds(10)) != std::future_status::ready)
        most = std::max(most, metric("pistachiohub_gateway_answer_bytes"));
    CHECK(sent.get().has_value());
    CHECK(most <= max_answer_bytes);
    auto const received = caller.receive_rest();
    CHECK(has_status(received.bytes, "200"));
    CHECK_FALSE(received.bytes.ends_with("0\r\n\r\n"));
    CHECK(metric("pistachiohub_gateway_answer_bytes") == 0);
}

// An answer that trickles in holds nobody else up, and ends with the deadline of its request.
TEST_CASE_METHOD(answer_stream_fixture, "answer_that_trickles_ends_at_the_deadline", "[gateway]")
{
    auto [caller, server] = begin(post("a", "b"));
    auto const trickle = std::async(std::launch::async,
                                    [&backend = server]()
                                    {
                                        for (auto const byte : head_of("a", "X-Long: head\r\n"))
                                        {
                                            backend.send(std::string(1, byte));
                                            std::this_thread::sleep_for(milliseconds(100));
                                        }
                                    });
    auto [other, with_other] = begin(post("c", "d"));
    with_other.send(answer_to("c", "other"));
    CHECK(other.receive_message().ends_with("other"));
    CHECK(has_status(caller.receive_message(), "504"));
    caller.send(post("e", "f"));
    auto next = m_server.accept();
    CHECK_FALSE(next.receive_message().empty());
}

// Failure: a large answer broke off while the whole answer before it was still being written to a
// caller with a slow link, and the caller lost the end of that one too.
TEST_CASE_METHOD(ample_memory_fixture,
                 "answer_stream_that_breaks_off_leaves_the_answer_being_written_before_it",
                 "[gateway]")
{
    bool const breaks_off = GENERATE(false, true);
    INFO("breaks off: " << breaks_off);
    auto caller = connect_over_slow_link(m_settings.gateway->callers.port);
    caller.send(get("a"));
    auto one = m_server.accept();
    REQUIRE_FALSE(one.receive_message().empty());
    caller.send(get("b"));
    auto two = m_server.accept();
    REQUIRE_FALSE(two.receive_message().empty());
    // Less than pauses the server.
    two.send(head_of("b", "Content-Length: 540000\r\n") + make_body(large_bytes / 6));
    REQUIRE(support::eventually(
        [this]()
        {
            return metric("pistachiohub_gateway_answer_bytes") >= large_bytes / 6.0;
        }));
    auto const first = make_body(65'000);
    one.send(answer_to("a", first));
    // Until both are handed to the socket together, which the caller has no room for.
    REQUIRE(support::eventually(
        [this]()
        {
            return take_settled().size() == 1;
        }));
    if (breaks_off)
    {
        two.close();
        REQUIRE(support::eventually(
            [this]()
            {
                return take_settled().size() == 1;
            }));
    }
    CHECK(caller.receive_message().ends_with("\r\n\r\n" + first));
}

// Failure: a caller without chunks got the answer to its next request as the end of the body of a
// large one that ends with the connection.
TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_stream_to_a_caller_without_chunks_ends_before_the_next_answer",
                 "[gateway]")
{
    auto const get_without_chunks = [](std::string const& id)
    {
        return "GET /i/" + id + " HTTP/1.0\r\nHost: a.example\r\nX-Attempt-Id: " + id +
               "\r\nX-Deadline-Ms: 3000\r\nConnection: keep-alive\r\n\r\n";
    };
    auto caller = connect();
    caller.send(get_without_chunks("a"));
    auto one = m_server.accept();
    REQUIRE_FALSE(one.receive_message().empty());
    caller.send(get_without_chunks("b"));
    CHECK_FALSE(m_server.has_connection(200));
    auto const body = make_body(large_bytes / 4);
    one.send(head_of("a", "Transfer-Encoding: chunked\r\n") + as_chunks(body, 7000));
    one.send("0\r\n\r\n");
    auto const rest = caller.receive_rest();
    CHECK_FALSE(rest.is_reset);
    CHECK(body_of(rest.bytes) == body);
}

// Failure: a caller that read nothing for some seconds lost an answer of less than 16 KiB, for
// which its socket had no room. Only larger writes are looked at.
TEST_CASE_METHOD(answer_stream_fixture,
                 "small_answers_to_a_caller_that_pauses_are_delivered_whole",
                 "[gateway]")
{
    // The second pause is longer than the limit of silence.
    auto const pause = milliseconds(GENERATE(1000, 8000));
    INFO("pause: " << pause.count());
    auto caller = connect_over_slow_link(m_settings.gateway->callers.port);
    auto const body = make_body(12'000);
    caller.send(get("a"));
    auto server = m_server.accept();
    REQUIRE_FALSE(server.receive_message().empty());
    server.send(answer_to("a", body));
    std::this_thread::sleep_for(pause);
    CHECK(caller.receive_message().ends_with("\r\n\r\n" + body));
}

// Failure: an answer that ends with its connection reached the caller as whole although the server
// reset the connection. The write of the rest of the request took the error, and the read saw an
// end.
TEST_CASE_METHOD(answer_stream_fixture,
                 "answer_without_length_that_a_reset_cuts_during_the_request_is_not_whole",
                 "[gateway]")
{
    // More than the sockets hold, or less.
    auto const body_bytes = static_cast<std::size_t>(GENERATE(90'000, 10));
    INFO("body: " << body_bytes);
    slow_link_listener const listener;
    fleet::backend_server server;
    server.id = "i-2";
    server.service = "s";
    server.address = {"127.0.0.1", listener.port()};
    server.failure_domain = "sve-a";
    server.slots = 8;
    push(events::store_update<fleet::backend_server>{true, 2, {{server.id, 2, server}}});
    std::this_thread::sleep_for(milliseconds(100));
    auto caller = connect();
    caller.send(post("a", make_body(body_bytes)));
    auto backend = listener.accept();
    backend.send(head_of("a", "") + "part of the body");
    // Until the gateway has read it.
    std::this_thread::sleep_for(milliseconds(200));
    backend.reset();
    auto const received = caller.receive_message();
    INFO(received);
    CHECK(has_status(received, "502"));
}

} // namespace pistachiohub
