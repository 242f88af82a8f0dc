#include "libraries/http/server.hpp"
#include "plugins/gateway/caller_server.hpp"
#include "tests/support/duty_fixture.hpp"
#include "tests/support/raw_connection.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include <unistd.h>

namespace pistachiohub
{

namespace
{

constexpr std::uint64_t seed = 20261206;
constexpr int inputs = 10000;

std::uint16_t test_port()
{
    constexpr int first_port = 15000;
    constexpr int processes = 4000;
    return static_cast<std::uint16_t>(first_port + ::getpid() % processes);
}

/// Runs an event loop on a thread of its own.
class loop_duty : public kernel::duty
{
public:
    void run() override
    {
        m_loop.run();
    }

    void request_stop() override
    {
        m_loop.stop();
    }

    kernel::event_loop& loop()
    {
        return m_loop;
    }

private:
    kernel::event_loop m_loop;
};

/// Parts of requests, valid and not, in any order.
rc::Gen<std::vector<std::string>> parts()
{
    auto const known = rc::gen::element<std::string>("GET / HTTP/1.1\r\n",
                                                     "POST /a HTTP/1.1\r\n",
                                                     "POST /a HTTP/1.0\r\n",
                                                     "HEAD * HTTP/1.1\r\n",
                                                     "Host: a\r\n",
                                                     "Content-Length: 5\r\n",
                                                     "Content-Length: 99999999999999999999\r\n",
                                                     "Transfer-Encoding: chunked\r\n",
                                                     "Expect: 100-continue\r\n",
                                                     "Connection: close\r\n",
                                                     "a:\r\n",
                                                     " folded\r\n",
                                                     "\r\n",
                                                     "\r\n\r\n",
                                                     "\n",
                                                     "5\r\nhello\r\n",
                                                     "5;a=\"b\\\"\"\r\nhello\r\n",
                                                     "ffffffffffffffff\r\n",
                                                     "0\r\n",
                                                     "0;e\r\n",
                                                     "0\r\n\r\n",
                                                     "hello");
    auto const random = rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    auto const large = rc::gen::map(rc::gen::inRange<std::size_t>(1, 40000),
                                    [](std::size_t size)
                                    {
                                        return std::string(size, 'a');
                                    });
    return rc::gen::container<std::vector<std::string>>(
        rc::gen::weightedOneOf<std::string>({{30, known}, {2, random}, {1, large}}));
}

/// Sends all inputs, each on a connection of its own, and checks that the server ends each.
/// @returns the number of inputs that were answered.
int play_inputs(std::uint16_t port)
{
    rc::Random random(seed);
    auto const generator = parts();
    int answered = 0;
    for (int number = 0; number < inputs; ++number)
    {
        constexpr int size = 12;
        auto const input = generator(random.split(), size).value();
        auto connection = support::connect_to(port);
        for (auto const& part : input)
            connection.send(part);
        connection.end_output();
        auto const begun_at = kernel::monotonic_now();
        auto const rest = connection.receive_rest();
        INFO("input " << number << " of seed " << seed);
        // receive_rest() gives up after this time without any input.
        REQUIRE(kernel::monotonic_now() - begun_at < support::wait_limit);
        answered += rest.bytes.starts_with("HTTP/1.1 ") ? 1 : 0;
    }
    return answered;
}

} // namespace

// Failure: input that no caller of good will sends ended or hung the process, or left a connection
// without an answer or a close.
TEST_CASE("hostile_input_of_callers_is_answered_or_closed", "[hostile]")
{
    // The loop's pending operations refer to these.
    kernel::metrics metrics;
    gateway::answer_memory memory;
    loop_duty duty;
    std::unique_ptr<gateway::caller_server> server;
    gateway::caller_server_events events;
    events.request_received = [&server](gateway::request_pointer const& request)
    {
        gateway::answer made;
        made.status = 200;
        made.reason = "OK";
        made.body = "ok";
        server->reply(request, std::move(made));
    };
    events.stream_drained = [](gateway::request_pointer const&) {};
    events.caller_disconnected = [](gateway::request_pointer const&, std::string_view) {};
    server = std::make_unique<gateway::caller_server>(duty.loop(),
                                                      metrics,
                                                      kernel::endpoint{"127.0.0.1", test_port()},
                                                      interface::message_headers{},
                                                      gateway::caller_server_limits{},
                                                      memory,
                                                      events);
    server->set_limits({});
    {
        support::running_duty const running(duty);
        CHECK(play_inputs(test_port()) > inputs / 4);
    }
    CHECK(memory.held == 0);
    server.reset();
}

TEST_CASE("hostile_input_of_services_is_answered_or_closed", "[hostile]")
{
    kernel::metrics metrics;
    loop_duty duty;
    http::server server(duty.loop(),
                        metrics,
                        "refusals",
                        {"127.0.0.1", test_port()},
                        [](http::server_request const&, http::reply_function const& reply)
                        {
                            reply({200, "ok", "text/plain"});
                        });
    support::running_duty const running(duty);
    CHECK(play_inputs(test_port()) > inputs / 4);
}

} // namespace pistachiohub
