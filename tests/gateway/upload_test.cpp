#include "plugins/gateway/server_choice.hpp"
#include "plugins/memory/server_bytes.hpp"
#include "tests/gateway/gateway_fixture.hpp"

namespace pistachiohub::gateway_test
{

namespace
{

constexpr double large_memory_mb = 200;
constexpr std::uint64_t largest_body = 32'000'000;

class upload_fixture : public gateway_fixture
{
protected:
    upload_fixture()
        : gateway_fixture(false, short_grace, false, large_memory_mb)
    {
        routing::routing_document document;
        document.version = 1;
        document.limits.body_bytes = largest_body;
        add_route(document, "/i/", routing::request_kind::idempotent);
        add_route(document, "/o/", routing::request_kind::at_most_once);
        push(events::store_update<routing::routing_document>{true, 1, {{"main", 1, document}}});
        push(events::store_update<fleet::entry_host>{true, 1, {}});
        add_server("i-1", m_server);
        start();
    }
};

} // namespace

// Failure: a server answered before it had read a long body and kept the connection, and the next
// request was sent there where the rest of the body was due.
TEST_CASE_METHOD(upload_fixture, "upload_answered_early_is_followed_by_nothing_else", "[gateway]")
{
    // The smaller body fits the buffers of the kernel, so that it is written though it is not read.
    auto const size = GENERATE(std::size_t{50'000}, std::size_t{30'000'000});
    auto caller = connect();
    caller.send(post("a", std::string(size, 'a')));
    auto server = m_server.accept();
    server.send(answer_to("a", "early", "Keep-Alive: timeout=10\r\n"));
    CHECK(caller.receive_message().ends_with("early"));
    caller.send(post("b", "second"));
    auto const rest = m_server.has_connection(500);
    auto const first = server.receive_message();
    if (!first.empty())
    {
        CHECK(first.starts_with("POST /o/a "));
        CHECK(first.find("POST /o/b") == std::string::npos);
        CHECK(first.ends_with(std::string(size, 'a')));
    }
    if (rest)
    {
        // The first connection was closed; what was left of the body is cut.
        auto other = m_server.accept();
        CHECK(other.receive_message().ends_with("second"));
        CHECK(server.receive_message().empty());
    }
    else
        CHECK(server.receive_message().ends_with("second"));
}

// Failure: several large uploads were sent to one server at the same time, which crashes when the
// requests that it holds exceed its memory.
TEST_CASE("upload_goes_to_another_server_or_waits_when_one_holds_too_many_bytes", "[gateway]")
{
    kernel::monotonic_time const now{std::chrono::hours(1)};
    gateway::server_table table;
    table.own_domain = "sve-a";
    table.own_region = "svealand";
    table.region_of_domain = {{"sve-a", "svealand"}};
    events::store_update<fleet::backend_server> update{true, 1, {}};
    for (auto const* const id : {"i-1", "i-2"})
    {
        fleet::backend_server server;
        server.id = id;
        server.service = "s";
        server.failure_domain = "sve-a";
        server.slots = 4;
        update.changes.push_back({id, 1, server});
    }
    gateway::apply(table, update, now);
    routing::route const route;
    auto const choose = [&](std::size_t request_bytes)
    {
        gateway::gateway_request request;
        request.service = "s";
        request.route = &route;
        gateway::choice_input input;
        input.now = now;
        input.request_bytes = request_bytes;
        return gateway::choose_server(table,
                                      request,
                                      input,
                                      [](gateway::known_server&)
                                      {
                                          return true;
                                      })
            .server;
    };
    auto const first = choose(memory::max_upload_bytes);
    REQUIRE(first);
    first->upload_bytes = memory::max_upload_bytes;
    auto const second = choose(memory::max_upload_bytes);
    REQUIRE(second);
    CHECK(second != first);
    second->upload_bytes = memory::max_upload_bytes;
    CHECK_FALSE(choose(memory::small_request_bytes + 1));
    CHECK(choose(memory::small_request_bytes));
    first->upload_bytes = 0;
    CHECK(choose(memory::max_upload_bytes) == first);
}

} // namespace pistachiohub::gateway_test
