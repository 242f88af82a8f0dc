#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "libraries/events/gateway_event.hpp"
#include "libraries/fleet/relay_choice.hpp"
#include "tests/support/duty_fixture.hpp"
#include "tests/support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace pistachiohub
{

namespace
{

using std::chrono::milliseconds;

char const* const listed =
    R"({"items": [{"metadata": {"name": "main", "created": 3, "revision": 4, "finalizers": [],
        "deleting": false}, "spec": {"version": 1, "routes": {}}, "status": null}],
        "has_more": false, "at": 5})";

/// The feed of the configuration, and a scripted store.
class contact_fixture
{
protected:
    support::raw_listener m_store;
    kernel::daemon_context m_context;
    std::unique_ptr<kernel::duty> m_duty;
    std::unique_ptr<support::running_duty> m_running;

    explicit contact_fixture(bool is_strict = true)
        : m_context(make_own_settings(m_store.port(), is_strict), 9)
    {
        for (auto const& registered : kernel::registered_plugins())
        {
            if (registered.name == "routes feed")
                m_duty = registered.create(m_context);
        }
        REQUIRE(m_duty);
        m_running = std::make_unique<support::running_duty>(*m_duty);
    }

    static kernel::settings make_own_settings(std::uint16_t store_port, bool is_strict)
    {
        auto own = support::make_settings("host-1");
        own.store = {"127.0.0.1", store_port};
        own.gateway.emplace();
        own.gateway->interface_name = "platform";
        own.gateway->bounds.has_strict_revocation = is_strict;
        return own;
    }

    static void answer(support::raw_connection& connection, std::string const& body)
    {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + body);
    }

    /// @returns the next events, once there are `count` of them.
    [[nodiscard]] std::vector<events::gateway_event> take(std::size_t count)
    {
        std::vector<events::gateway_event> taken;
        auto const end = kernel::monotonic_now() + support::wait_limit;
        while (taken.size() < count && kernel::monotonic_now() < end)
        {
            m_context.shared<kernel::mailbox<events::gateway_event>>().drain(
                [&taken](events::gateway_event&& event)
                {
                    taken.push_back(std::move(event));
                });
            std::this_thread::sleep_for(milliseconds(2));
        }
        return taken;
    }

    [[nodiscard]] static kernel::boot_time confirmed_at(events::gateway_event const& event)
    {
        REQUIRE(std::holds_alternative<events::configuration_confirmed>(event));
        return std::get<events::configuration_confirmed>(event).begun_at;
    }
};

class lax_contact_fixture : public contact_fixture
{
protected:
    lax_contact_fixture()
        : contact_fixture(false)
    {
    }
};

} // namespace

// A confirmation that overtook a change would vouch for keys that the change has removed. Its age
// counts from before the call, since the store may have changed while the answer was on its way.
TEST_CASE_METHOD(contact_fixture,
                 "feed_confirms_the_configuration_behind_its_changes",
                 "[discovery][customer][concurrent]")
{
    auto store = m_store.accept();
    REQUIRE_FALSE(store.receive_message().empty());
    auto const asked_by = kernel::boot_clock::now();
    std::this_thread::sleep_for(milliseconds(20));
    answer(store, listed);
    auto const first = take(2);
    REQUIRE(first.size() == 2);
    REQUIRE(std::holds_alternative<events::store_update<routing::routing_document>>(first[0]));
    CHECK(confirmed_at(first[1]) <= asked_by);
    // A call without changes confirms, too.
    REQUIRE(store.receive_message().find("watch=5") != std::string::npos);
    answer(store, R"({"events": [], "at": 6})");
    auto const second = take(1);
    REQUIRE(second.size() == 1);
    CHECK(confirmed_at(second[0]) > confirmed_at(first[1]));
}

TEST_CASE_METHOD(contact_fixture,
                 "feed_counts_the_age_that_another_daemon_tells",
                 "[discovery][customer][concurrent]")
{
    auto store = m_store.accept();
    REQUIRE_FALSE(store.receive_message().empty());
    support::raw_listener relay;
    m_context.shared<kernel::snapshot<fleet::relay_choice>>().publish(
        std::make_shared<fleet::relay_choice const>(
            fleet::relay_choice{"host-2", {"127.0.0.1", relay.port()}}));
    answer(store, listed);
    REQUIRE(take(2).size() == 2);
    auto asked = relay.accept();
    REQUIRE_FALSE(asked.receive_message().empty());
    auto const asked_by = kernel::boot_clock::now();
    answer(asked, R"({"revision": 6, "age_ms": 700, "objects": []})");
    auto const told = take(1);
    REQUIRE(told.size() == 1);
    CHECK(confirmed_at(told[0]) <= asked_by - milliseconds(700));
}

TEST_CASE_METHOD(lax_contact_fixture,
                 "feed_without_strict_revocation_confirms_nothing",
                 "[discovery][customer][concurrent]")
{
    auto store = m_store.accept();
    REQUIRE_FALSE(store.receive_message().empty());
    answer(store, listed);
    REQUIRE_FALSE(store.receive_message().empty());
    auto const events = take(1);
    REQUIRE(events.size() == 1);
    CHECK(std::holds_alternative<events::store_update<routing::routing_document>>(events[0]));
}

} // namespace pistachiohub
