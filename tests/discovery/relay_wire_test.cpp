#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "libraries/events/gateway_event.hpp"
#include "libraries/fleet/relay_choice.hpp"
#include "plugins/discovery/feed_history.hpp"
#include "plugins/store/newest_generation.hpp"
#include "plugins/store/store_probe.hpp"
#include "tests/support/duty_fixture.hpp"
#include "tests/support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <unistd.h>

namespace pistachiohub
{

namespace
{

using std::chrono::milliseconds;

std::uint16_t own_relay_port()
{
    constexpr int first_port = 30100;
    constexpr int processes = 2000;
    return static_cast<std::uint16_t>(first_port + ::getpid() % processes);
}

void answer(support::raw_connection& connection,
            std::string const& status,
            std::string const& body,
            std::string const& headers = "")
{
    connection.send("HTTP/1.1 " + status + "\r\n" + headers +
                    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

/// Duties of a gateway by name, and a scripted store.
class discovery_fixture
{
protected:
    support::raw_listener m_store;
    kernel::daemon_context m_context{make_own_settings(m_store.port()), 9};
    std::unique_ptr<kernel::duty> m_duty;
    std::unique_ptr<support::running_duty> m_running;

    static kernel::settings make_own_settings(std::uint16_t store_port)
    {
        auto own = support::make_settings("host-1");
        own.store = {"127.0.0.1", store_port};
        own.gateway.emplace();
        own.gateway->interface_name = "platform";
        own.gateway->relay = {"127.0.0.1", own_relay_port()};
        return own;
    }

    void start(std::string_view name)
    {
        for (auto const& registered : kernel::registered_plugins())
        {
            if (registered.name == name)
                m_duty = registered.create(m_context);
        }
        REQUIRE(m_duty);
        m_running = std::make_unique<support::running_duty>(*m_duty);
    }

    void choose_relay(support::raw_listener const& relay)
    {
        m_context.shared<kernel::snapshot<fleet::relay_choice>>().publish(
            std::make_shared<fleet::relay_choice const>(
                fleet::relay_choice{"host-2", {"127.0.0.1", relay.port()}}));
    }

    /// Starts a feed that reads through the relay, and loses first the relay and then the store.
    /// @returns the connection of the next question to the relay, which was received.
    [[nodiscard]] support::raw_connection start_feed_without_store(support::raw_listener& relay)
    {
        start("evacuation feed");
        auto store = m_store.accept();
        REQUIRE_FALSE(store.receive_message().empty());
        choose_relay(relay);
        answer(store, "200 OK", R"({"items": [], "has_more": false, "at": 5})");
        auto asked = relay.accept();
        REQUIRE_FALSE(asked.receive_message().empty());
        answer(asked, "503 Service Unavailable", "{}");
        auto silent = m_store.accept();
        REQUIRE_FALSE(silent.receive_message().empty());
        REQUIRE_FALSE(asked.receive_message().empty());
        REQUIRE(take_contacts() == std::vector<bool>{false});
        return asked;
    }

    /// @returns whether the store is reachable, for each time that the gateway was told so.
    [[nodiscard]] std::vector<bool> take_contacts()
    {
        std::vector<bool> taken;
        m_context.shared<kernel::mailbox<events::gateway_event>>().drain(
            [&taken](events::gateway_event&& event)
            {
                if (auto const* const contact = std::get_if<events::store_contact>(&event))
                    taken.push_back(contact->is_reachable);
            });
        return taken;
    }

    void note(std::uint64_t revision,
              std::vector<object_store::object> objects,
              bool is_complete = false,
              bool is_direct = true,
              kernel::boot_time confirmed_at = kernel::boot_clock::now())
    {
        m_context.shared<discovery::feed_histories>().update(
            "evacuations",
            is_direct,
            is_complete,
            {object_store::status::ok, revision, std::move(objects)},
            confirmed_at);
    }

    [[nodiscard]] static support::raw_connection ask(std::uint64_t revision, int wait_ms)
    {
        auto connection = support::connect_to(own_relay_port());
        connection.send("GET /v1/changes/evacuations/host-2/4?after=" + std::to_string(revision) +
                        "&wait_ms=" + std::to_string(wait_ms) +
                        "&generation=0 HTTP/1.1\r\nHost: x\r\n\r\n");
        return connection;
    }
};

object_store::object make_evacuation(std::string const& domain, std::uint64_t version)
{
    object_store::object made;
    made.name = domain;
    made.version = version;
    made.value = "{}";
    return made;
}

} // namespace

TEST_CASE_METHOD(discovery_fixture,
                 "relay_waiting_question_is_answered_by_a_change",
                 "[discovery][concurrent]")
{
    start("relay");
    note(5, {}, true);
    auto waiting = ask(5, 4000);
    note(6, {make_evacuation("sve-a", 6)});
    auto const told = waiting.receive_message();
    CHECK(told.starts_with("HTTP/1.1 200 "));
    CHECK(told.find(R"("revision":6)") != std::string::npos);
    CHECK(told.find("sve-a") != std::string::npos);
    auto const late = ask(4, 4000).receive_message();
    CHECK(late.starts_with("HTTP/1.1 410 "));
}

// What another daemon told is not passed on, so that its age does not grow without bound.
TEST_CASE_METHOD(discovery_fixture,
                 "relay_indirect_knowledge_is_not_passed_on",
                 "[discovery][concurrent]")
{
    start("relay");
    note(5, {}, true, false);
    CHECK(ask(5, 4000).receive_message().starts_with("HTTP/1.1 503 "));
}

// Failure: a suspended reader wakes and says that nothing has changed, because the steady clock did
// not count the time. Its followers were awake and would send to servers that left meanwhile.
TEST_CASE_METHOD(discovery_fixture,
                 "relay_knowledge_from_before_a_suspension_is_stale",
                 "[discovery]")
{
    STATIC_REQUIRE_FALSE(std::is_convertible_v<kernel::monotonic_time, kernel::boot_time>);
    start("relay");
    note(5, {}, true, true, kernel::boot_clock::now() - std::chrono::seconds(10));
    CHECK(ask(5, 4000).receive_message().starts_with("HTTP/1.1 503 "));
}

// The daemon from which this one reads is gone at any moment: the store must be asked at once, from
// the same revision, without waiting and on a new connection.
TEST_CASE_METHOD(discovery_fixture,
                 "feed_lost_relay_is_followed_by_the_store",
                 "[discovery][concurrent]")
{
    support::raw_listener relay;
    start("evacuation feed");
    auto first = m_store.accept();
    REQUIRE_FALSE(first.receive_message().empty());
    choose_relay(relay);
    answer(first, "200 OK", R"({"items": [], "has_more": false, "at": 5})");
    auto asked = relay.accept();
    CHECK(asked.receive_message().starts_with("GET /v1/changes/evacuations/host-1/9?after=5&"));
    answer(asked, "200 OK", R"({"revision": 8, "objects": []})");
    CHECK(asked.receive_message().starts_with("GET /v1/changes/evacuations/host-1/9?after=8&"));
    answer(asked, "503 Service Unavailable", "{}");
    auto second = m_store.accept();
    CHECK(second.receive_message().starts_with(
        "GET /pistachiohub/objects/evacuations?watch=8&wait_ms=1 "));
    answer(second, "200 OK", R"({"events": [], "at": 8})");
}

// Guards against a daemon that takes the store for away for ever, and lost hosts for live, because
// the relay that it follows got through to the store first after an outage.
TEST_CASE_METHOD(discovery_fixture,
                 "feed_contact_of_the_relay_ends_the_outage",
                 "[discovery][concurrent]")
{
    support::raw_listener relay;
    auto asked = start_feed_without_store(relay);
    answer(asked, "200 OK", R"({"revision": 5, "age_ms": 0, "objects": []})");
    REQUIRE_FALSE(asked.receive_message().empty());
    CHECK(take_contacts() == std::vector<bool>{true});
}

// Guards against a store that counts as back, so that live hosts are taken for lost, because of
// what a relay that is itself cut off had read before the outage.
TEST_CASE_METHOD(discovery_fixture,
                 "feed_older_contact_of_the_relay_does_not_end_the_outage",
                 "[discovery][concurrent]")
{
    support::raw_listener relay;
    auto asked = start_feed_without_store(relay);
    answer(asked, "200 OK", R"({"revision": 6, "age_ms": 60000, "objects": []})");
    REQUIRE(asked.receive_message().find("?after=6&") != std::string::npos);
    CHECK(take_contacts().empty());
    answer(asked, "200 OK", R"({"revision": 7, "age_ms": 0, "objects": []})");
    REQUIRE(asked.receive_message().find("?after=7&") != std::string::npos);
    CHECK(take_contacts() == std::vector<bool>{true});
}

// Guards against followers that cannot tell whether the relay read the store before or after their
// own call failed.
TEST_CASE_METHOD(discovery_fixture, "relay_answer_tells_its_age", "[discovery][concurrent]")
{
    constexpr auto age = milliseconds(700);
    start("relay");
    note(5, {}, true);
    note(6, {make_evacuation("sve-a", 6)}, false, true, kernel::boot_clock::now() - age);
    auto const told = ask(5, 4000).receive_message();
    CHECK(told.starts_with("HTTP/1.1 200 "));
    std::string const name = R"("age_ms":)";
    auto const position = told.find(name);
    REQUIRE(position != std::string::npos);
    CHECK(std::stoi(told.substr(position + name.size())) >= age.count());
}

// Guards against the first read of a new reader that waits for a change on a connection which has
// been idle: what it knows is as old as its former reader was permitted to tell.
TEST_CASE_METHOD(discovery_fixture,
                 "feed_new_reader_asks_the_store_at_once_on_a_new_connection",
                 "[discovery][concurrent]")
{
    support::raw_listener relay;
    start("evacuation feed");
    auto store = m_store.accept();
    REQUIRE_FALSE(store.receive_message().empty());
    choose_relay(relay);
    answer(store, "200 OK", R"({"items": [], "has_more": false, "at": 5})");
    auto asked = relay.accept();
    REQUIRE_FALSE(asked.receive_message().empty());
    m_context.shared<kernel::snapshot<fleet::relay_choice>>().publish(
        std::make_shared<fleet::relay_choice const>());
    answer(asked, "200 OK", R"({"revision": 6, "age_ms": 0, "objects": []})");
    auto fresh = m_store.accept();
    CHECK(fresh.receive_message().find("?watch=6&wait_ms=1 ") != std::string::npos);
    CHECK(store.is_closed_by_peer());
    CHECK(asked.is_closed_by_peer());
}

// Guards against changes that are missed when the store comes back from an older copy: it gives out
// revisions again, so a watch from before goes on in another history without any sign but the
// header.
TEST_CASE_METHOD(discovery_fixture,
                 "feed_restored_store_is_listed_again",
                 "[discovery][concurrent]")
{
    std::string const list = "GET /pistachiohub/objects/evacuations HTTP";
    start("evacuation feed");
    auto store = m_store.accept();
    CHECK(store.receive_message().starts_with(list));
    answer(store, "200 OK", R"({"items": [], "has_more": false, "at": 5})", "Store-Era: 1\r\n");
    CHECK(store.receive_message().starts_with("GET /pistachiohub/objects/evacuations?watch=5&"));
    answer(store, "200 OK", R"({"events": [], "at": 8})", "Store-Era: 2\r\n");
    CHECK(store.receive_message().starts_with(list));
    answer(store, "200 OK", R"({"items": [], "has_more": false, "at": 9})", "Store-Era: 2\r\n");
    CHECK(store.receive_message().starts_with("GET /pistachiohub/objects/evacuations?watch=9&"));
}

// Guards against an outage in which each kind repeats its calls, and against a kind that does not
// resume when another one is answered.
TEST_CASE_METHOD(discovery_fixture,
                 "feed_refused_call_is_repeated_after_the_probe_of_another_caller",
                 "[discovery][concurrent]")
{
    constexpr int quiet_ms = 800;
    auto& probe = m_context.shared<store::store_probe>();
    probe.add("other", store::caller_role::reader, []() {});
    probe.begin("other", kernel::boot_clock::now());
    probe.end("other", false, 0, kernel::boot_clock::now());
    start("evacuation feed");
    auto refused = m_store.accept();
    REQUIRE_FALSE(refused.receive_message().empty());
    probe.begin("other", kernel::boot_clock::now());
    answer(refused, "503 Service Unavailable", "{}", "Connection: close\r\n");
    CHECK_FALSE(m_store.has_connection(quiet_ms));
    probe.end("other", true, 0, kernel::boot_clock::now());
    CHECK(m_store.accept().receive_message().starts_with(
        "GET /pistachiohub/objects/evacuations HTTP"));
    m_running.reset();
    probe.remove("other");
}

// Guards against a host that is missing in the store for as long as its reports are apart, up to 20
// s for one that reads through another, after the store came back from an older copy.
TEST_CASE_METHOD(discovery_fixture,
                 "registration_is_written_again_to_a_restored_store",
                 "[discovery][concurrent]")
{
    std::string const written = R"({"metadata": {"name": "host-1", "revision": 41}})";
    start("registration");
    auto store = m_store.accept();
    REQUIRE(store.receive_message().starts_with("POST "));
    answer(store, "200 OK", written, "Store-Era: 1\r\n");
    auto const answered_at = kernel::monotonic_now();
    m_context.shared<store::newest_generation>().note(2);
    REQUIRE(store.receive_message().starts_with("PUT "));
    CHECK(kernel::monotonic_now() - answered_at < milliseconds(1000));
    // The copy is older than the host.
    answer(store, "404 Not Found", "{}", "Store-Era: 2\r\n");
    REQUIRE(store.receive_message().starts_with("POST "));
    answer(store, "200 OK", written, "Store-Era: 2\r\n");
}

} // namespace pistachiohub
