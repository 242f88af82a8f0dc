#include "tests/gateway/dispatcher_fixture.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

using gateway::attempt_result;
using std::chrono::milliseconds;

constexpr unsigned http_unauthorized = 401;
constexpr unsigned http_unavailable = 503;

routing::customer make_customer(std::string const& name, std::vector<std::string> keys)
{
    routing::customer made;
    made.name = name;
    made.keys = std::move(keys);
    return made;
}

/// The customers a (keys a-1 and a-2) and b (key b-1), the exempt route `/e/`, and one server.
class customer_dispatcher_fixture : public gateway_test::dispatcher_fixture
{
protected:
    explicit customer_dispatcher_fixture(std::uint32_t slots = 8)
    {
        add_route("exempt", "/e/", routing::request_kind::idempotent, "s");
        m_document.routes.back().is_key_exempt = true;
        m_document.customers = {make_customer("a", {"a-1", "a-2"}), make_customer("b", {"b-1"})};
        publish(2);
        add_server("b-1", "sve-a", slots);
    }

    gateway::request_pointer begin_with(std::optional<std::string> key,
                                        std::string const& target = "/i/1")
    {
        auto request = std::make_shared<gateway::gateway_request>();
        request->number = ++m_last_number;
        request->id = "id-" + std::to_string(request->number);
        request->message = {"GET", target, {{"Host", "a.example"}}, ""};
        request->key = std::move(key);
        request->arrived_at = m_now;
        request->caller_deadline = m_now + milliseconds(3000);
        m_dispatcher->begin(request, m_now);
        return request;
    }

    [[nodiscard]] bool has_metric(std::string const& line) const
    {
        return m_metrics.text().find(line) != std::string::npos;
    }

    [[nodiscard]] static std::string customer_of(gateway::request_pointer const& request)
    {
        return request->customer ? request->customer->name : "";
    }
};

class busy_dispatcher_fixture : public customer_dispatcher_fixture
{
protected:
    busy_dispatcher_fixture()
        : customer_dispatcher_fixture(1)
    {
    }
};

/// A dispatcher that judges keys by the age of its contact with the store: 4 s are permitted.
class strict_dispatcher_fixture : public customer_dispatcher_fixture
{
protected:
    strict_dispatcher_fixture()
    {
        m_bounds.has_strict_revocation = true;
        m_bounds.revocation = milliseconds(5000);
        m_bounds.configuration_apply = milliseconds(2500);
        m_dispatcher = make_dispatcher();
        fleet::entry_host host;
        host.name = "host-1";
        m_dispatcher->apply(
            events::store_update<fleet::entry_host>{true, 1, {{host.name, 1, host}}}, m_now);
        m_dispatcher->apply(events::store_update<fleet::backend_server>{true, 1, {}}, m_now);
        publish(2);
        add_server("b-1", "sve-a", 8);
        m_dispatcher->configuration_confirmed(m_boot_time);
    }
};

} // namespace

TEST_CASE_METHOD(customer_dispatcher_fixture,
                 "dispatcher_known_key_sets_the_customer",
                 "[gateway][customer]")
{
    auto const request = begin_with("b-1");
    CHECK(customer_of(request) == "b");
    CHECK(m_sent.size() == 1);
}

TEST_CASE_METHOD(customer_dispatcher_fixture,
                 "dispatcher_unknown_or_missing_key_is_401_and_not_run",
                 "[gateway][customer]")
{
    auto const unknown = begin_with("c-1");
    CHECK(status_of(unknown) == http_unauthorized);
    CHECK(m_replies.at(unknown->number).retry_after.empty());
    CHECK(status_of(begin_with(std::nullopt)) == http_unauthorized);
    CHECK(m_sent.empty());
    CHECK(m_settled.find(unknown->id)->second == outcome::not_run);
    CHECK(has_metric("pistachiohub_gateway_customer_refusals_total{cause=\"unknown_key\"} 1"));
}

TEST_CASE_METHOD(customer_dispatcher_fixture,
                 "dispatcher_exempt_route_needs_no_key",
                 "[gateway][customer]")
{
    CHECK(customer_of(begin_with(std::nullopt, "/e/1")).empty());
    CHECK(customer_of(begin_with("c-1", "/e/1")).empty());
    CHECK(customer_of(begin_with("a-1", "/e/1")) == "a");
    CHECK(m_sent.size() == 3);
}

TEST_CASE_METHOD(customer_dispatcher_fixture,
                 "dispatcher_removed_key_is_refused_until_it_returns",
                 "[gateway][customer]")
{
    m_document.customers->at(0).keys = {"a-2"};
    publish(3);
    CHECK(status_of(begin_with("a-1")) == http_unauthorized);
    CHECK(customer_of(begin_with("a-2")) == "a");
    m_document.customers->at(1).keys.emplace_back("a-1");
    publish(4);
    CHECK(customer_of(begin_with("a-1")) == "b");
}

// A request that was admitted was sent before its key was removed, and its retry is the same
// request.
TEST_CASE_METHOD(customer_dispatcher_fixture,
                 "dispatcher_retry_after_removal_keeps_its_customer",
                 "[gateway][customer]")
{
    add_server("b-2", "sve-a", 8);
    auto const request = begin_with("a-1");
    m_document.customers->erase(m_document.customers->begin());
    publish(3);
    end(request, attempt_result::not_started, http_unavailable);
    REQUIRE(m_sent.size() == 2);
    CHECK(customer_of(m_sent[1]) == "a");
}

TEST_CASE_METHOD(customer_dispatcher_fixture,
                 "dispatcher_key_claimed_twice_is_503_until_it_is_not",
                 "[gateway][customer]")
{
    m_document.customers->at(1).keys.emplace_back("a-1");
    publish(3);
    auto const refused = begin_with("a-1");
    CHECK(status_of(refused) == http_unavailable);
    CHECK(m_replies.at(refused->number).retry_after == "2.000");
    CHECK(customer_of(begin_with("a-2")) == "a");
    CHECK(
        has_metric("pistachiohub_gateway_customer_faults_total{event=\"customer_key_shared\"} 2"));
    m_document.customers->at(1).keys.pop_back();
    publish(4);
    CHECK(customer_of(begin_with("a-1")) == "a");
}

TEST_CASE_METHOD(customer_dispatcher_fixture,
                 "dispatcher_unreadable_customer_stays_in_its_earlier_version",
                 "[gateway][customer]")
{
    m_document.customers->at(0).priority = 7;
    publish(3);
    m_document.customers->at(0).priority = 0;
    m_document.customers->at(0).is_readable = false;
    m_document.customers->push_back(make_customer("c", {"c-1"}));
    m_document.customers->back().is_readable = false;
    publish(4);
    publish(5);
    CHECK(begin_with("a-1")->customer->priority == 7);
    CHECK(status_of(begin_with("c-1")) == http_unavailable);
}

TEST_CASE_METHOD(customer_dispatcher_fixture,
                 "dispatcher_configuration_without_customers_ignores_keys",
                 "[gateway][customer]")
{
    m_document.customers.reset();
    publish(3);
    CHECK(customer_of(begin_with("c-1")).empty());
    CHECK(customer_of(begin_with(std::nullopt)).empty());
    CHECK(m_sent.size() == 2);
}

TEST_CASE_METHOD(customer_dispatcher_fixture,
                 "dispatcher_home_regions_of_customer_and_route_both_bind",
                 "[gateway][customer]")
{
    add_server("g-1", "got-a", 8);
    m_document.customers->at(0).home_regions = {"gotaland"};
    publish(3);
    for (int number = 0; number < 4; ++number)
        CHECK(begin_with("a-1")->server->record.id == "g-1");
    // The empty list of the other customer permits all regions.
    CHECK(begin_with("b-1")->server);
    m_document.routes[0].home_regions = {"svealand"};
    publish(4);
    // No region is in both lists.
    CHECK(status_of(begin_with("a-1")) == http_unavailable);
    CHECK(begin_with("b-1")->server->record.id == "b-1");
}

// Load pattern: with all slots taken, the order of the queue decides who is served.
TEST_CASE_METHOD(busy_dispatcher_fixture,
                 "dispatcher_waiting_requests_are_ordered_by_customer_then_route",
                 "[gateway][customer]")
{
    m_document.customers->at(0).priority = 1;
    m_document.routes[1].priority = 1;
    publish(3);
    auto const running = begin_with("b-1");
    REQUIRE(m_sent.size() == 1);
    std::vector<gateway::request_pointer> const waiting{begin_with("a-1", "/i/1"),
                                                        begin_with("b-1", "/o/1"),
                                                        begin_with("b-1", "/i/2"),
                                                        begin_with("b-1", "/i/3")};
    REQUIRE(m_sent.size() == 1);
    for (std::size_t number = 0; number < 4; ++number)
        end(m_sent.at(number), attempt_result::answered);
    REQUIRE(m_sent.size() == 5);
    CHECK(m_sent[1] == waiting[2]);
    CHECK(m_sent[2] == waiting[3]);
    CHECK(m_sent[3] == waiting[1]);
    CHECK(m_sent[4] == waiting[0]);
}

// A host that is cut off from the store, or was suspended, does not know which keys were removed.
TEST_CASE_METHOD(strict_dispatcher_fixture,
                 "dispatcher_host_without_contact_refuses_keys_only",
                 "[gateway][customer]")
{
    m_boot_time += milliseconds(4000);
    CHECK(customer_of(begin_with("a-1")) == "a");
    m_boot_time += milliseconds(1);
    auto const refused = begin_with("a-1");
    CHECK(status_of(refused) == http_unavailable);
    CHECK(m_replies.at(refused->number).body == R"({"reason":"stale_configuration"})");
    CHECK(m_replies.at(refused->number).retry_after == "0.100");
    CHECK(status_of(begin_with("c-1")) == http_unavailable);
    CHECK(status_of(begin_with(std::nullopt)) == http_unauthorized);
    CHECK(customer_of(begin_with("a-1", "/e/1")).empty());
    CHECK(m_sent.size() == 2);
    m_dispatcher->configuration_confirmed(m_boot_time - milliseconds(1000));
    CHECK(customer_of(begin_with("a-1")) == "a");
    CHECK(status_of(begin_with("c-1")) == http_unauthorized);
}

// The boot clock goes on while the process is suspended, and the monotonic clock need not.
TEST_CASE_METHOD(strict_dispatcher_fixture,
                 "dispatcher_request_found_after_a_suspension_is_refused",
                 "[gateway][customer]")
{
    m_boot_time += std::chrono::minutes(10);
    CHECK(status_of(begin_with("a-1")) == http_unavailable);
    CHECK(m_sent.empty());
}

// A request was sent before it was admitted, so that neither its wait nor its retry is judged
// again.
TEST_CASE_METHOD(strict_dispatcher_fixture,
                 "dispatcher_retry_without_contact_still_runs",
                 "[gateway][customer]")
{
    add_server("b-2", "sve-a", 8);
    auto const request = begin_with("a-1");
    m_boot_time += std::chrono::minutes(10);
    end(request, attempt_result::not_started, http_unavailable);
    REQUIRE(m_sent.size() == 2);
    CHECK(customer_of(m_sent[1]) == "a");
}

// A key that was added within the time for a configuration must not be told that it is invalid.
TEST_CASE_METHOD(strict_dispatcher_fixture,
                 "dispatcher_unknown_key_is_401_only_while_additions_are_known",
                 "[gateway][customer]")
{
    m_boot_time += milliseconds(2500);
    CHECK(status_of(begin_with("c-1")) == http_unauthorized);
    m_boot_time += milliseconds(1);
    CHECK(status_of(begin_with("c-1")) == http_unavailable);
}

// The first configuration is applied some moments before its confirmation is handled.
TEST_CASE_METHOD(strict_dispatcher_fixture,
                 "dispatcher_request_waits_for_the_first_confirmation",
                 "[gateway][customer]")
{
    m_dispatcher = make_dispatcher();
    m_dispatcher->apply(events::store_update<fleet::backend_server>{true, 1, {}}, m_now);
    publish(2);
    add_server("b-1", "sve-a", 8);
    auto const request = begin_with("a-1");
    CHECK(m_sent.empty());
    CHECK(status_of(request) == 0);
    m_dispatcher->configuration_confirmed(m_boot_time);
    m_dispatcher->tick(m_now);
    CHECK(customer_of(request) == "a");
    CHECK(m_sent.size() == 1);
}

// The deployment asks for no revocation within a time.
TEST_CASE_METHOD(customer_dispatcher_fixture,
                 "dispatcher_without_strict_revocation_serves_without_contact",
                 "[gateway][customer]")
{
    m_boot_time += std::chrono::hours(1);
    CHECK(customer_of(begin_with("a-1")) == "a");
}

} // namespace pistachiohub
