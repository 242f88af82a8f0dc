#include "plugins/gateway/load_report.hpp"
#include "plugins/gateway/quota_report.hpp"
#include "tests/gateway/dispatcher_fixture.hpp"

#include <catch2/catch.hpp>

#include <array>

namespace pistachiohub
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

struct quota_fixture : gateway_test::dispatcher_fixture
{
    quota_fixture()
    {
        routing::customer limited;
        limited.name = "limited";
        limited.keys = {"k"};
        limited.requests_per_second = 10;
        limited.burst = 10;
        m_document.customers = {limited};
        publish(2);
        m_dispatcher->apply(events::store_update<fleet::entry_host>{true, 1, {}}, m_now);
        add_server("b1", "sve-a", 1000);
        m_dispatcher->tick(m_now += milliseconds(300));
        // The bucket is empty at the start.
        m_now += seconds(10);
    }

    gateway::request_pointer begin_of_customer(std::string const& target = "/i/x")
    {
        auto request = std::make_shared<gateway::gateway_request>();
        request->number = ++m_last_number;
        request->id = "id-" + std::to_string(request->number);
        request->message = {
            "GET", target, {{"Host", "a.example"}, {"Authorization", "Bearer k"}}, ""};
        request->key = "k";
        request->arrived_at = m_now;
        request->caller_deadline = m_now + seconds(3);
        m_dispatcher->begin(request, m_now);
        return request;
    }

    /// @returns the number of requests that are admitted now.
    std::size_t admitted_of(std::size_t count)
    {
        std::size_t admitted = 0;
        for (std::size_t index = 0; index < count; ++index)
            admitted += status_of(begin_of_customer()) == 429 ? 0 : 1;
        return admitted;
    }
};

} // namespace

// Guards against requests over the quota that are queued or sent, and against refusals without the
// time after which callers may retry.
TEST_CASE_METHOD(quota_fixture, "quota_request_over_it_is_refused_unsent", "[quota]")
{
    auto const admitted = admitted_of(50);
    CHECK(admitted >= 10);
    CHECK(admitted <= 20);
    auto const sent = m_sent.size();
    auto const refused = begin_of_customer();
    CHECK(status_of(refused) == 429);
    CHECK(std::stod(m_replies.at(refused->number).retry_after) > 0);
    CHECK(m_sent.size() == sent);
    REQUIRE(m_settled.count(refused->id) == 1);
    CHECK(m_settled.find(refused->id)->second == outcome::not_run);
}

// Guards against requests that use up the quota without having run.
TEST_CASE_METHOD(quota_fixture, "quota_token_of_refused_request_is_returned", "[quota]")
{
    remove_server("b1");
    for (int index = 0; index < 50; ++index)
        CHECK(status_of(begin_of_customer()) != 429);
}

// Guards against quotas that affect requests without a customer.
TEST_CASE_METHOD(quota_fixture, "quota_request_without_customer_is_not_limited", "[quota]")
{
    m_document.customers.reset();
    publish(3);
    for (int index = 0; index < 50; ++index)
        CHECK(status_of(begin("/i/x")) == 0);
}

// Loads and quotas share a socket. Guards against loads that are taken for quotas, so that no host
// learns the loads that others receive.
TEST_CASE("quota_report_and_loads_have_different_versions", "[quota][gateway]")
{
    std::array<gateway::shared_load, 1> const loads{{{1, {2, 3, 4, 100}, milliseconds(5)}}};
    for (auto const& datagram : gateway::encode_loads(loads))
    {
        CHECK_FALSE(gateway::is_quota_datagram(datagram));
        CHECK_FALSE(gateway::decode_quotas(datagram));
    }
    for (auto const& datagram : gateway::encode_quotas({}))
    {
        CHECK(gateway::is_quota_datagram(datagram));
        CHECK_FALSE(gateway::decode_loads(datagram));
    }
}

// Guards against totals that change on their way, also negative ones after returned tokens.
TEST_CASE("quota_report_is_decoded_as_encoded", "[quota]")
{
    gateway::quota_report report;
    report.sender = 0xfedcba9876543210;
    report.content = {77, milliseconds(1234), quota::link_kind::other_reader, 300, {}};
    for (std::uint64_t customer = 0; customer < 100; ++customer)
        report.content.changed.push_back(
            {customer << 56, {customer << 40, static_cast<std::uint64_t>(-1)}});
    auto const datagrams = gateway::encode_quotas(report);
    REQUIRE(datagrams.size() == 2);
    std::size_t position = 0;
    for (auto const& datagram : datagrams)
    {
        CHECK(datagram.size() <= 1472);
        auto const decoded = gateway::decode_quotas(datagram);
        REQUIRE(decoded);
        CHECK(decoded->sender == report.sender);
        CHECK(decoded->content.session == 77);
        CHECK(decoded->content.session_age == milliseconds(1234));
        CHECK(decoded->content.receiver == quota::link_kind::other_reader);
        CHECK(decoded->content.hosts == 300);
        for (auto const& entry : decoded->content.changed)
        {
            auto const& expected = report.content.changed.at(position++);
            CHECK(entry.customer == expected.customer);
            CHECK(entry.sum.demanded == expected.sum.demanded);
            CHECK(entry.sum.admitted == expected.sum.admitted);
        }
    }
    CHECK(position == 100);
}

// Guards against reads beyond the end of datagrams that anyone may send.
TEST_CASE("quota_report_that_is_malformed_is_rejected", "[quota]")
{
    gateway::quota_report report;
    report.content.changed.push_back({1, {2, 3}});
    auto const datagram = gateway::encode_quotas(report).front();
    for (std::size_t size = 0; size < datagram.size(); ++size)
    {
        constexpr std::size_t header_size = 24;
        CHECK(gateway::decode_quotas(datagram.substr(0, size)).has_value() ==
              (size == header_size));
    }
    auto other_version = datagram;
    other_version.front() = 4;
    CHECK_FALSE(gateway::decode_quotas(other_version));
    auto other_receiver = datagram;
    other_receiver[1] = 9;
    CHECK_FALSE(gateway::decode_quotas(other_receiver));
}

} // namespace pistachiohub
