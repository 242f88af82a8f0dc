#include "kernel/plugin.hpp"
#include "libraries/events/store_command.hpp"
#include "libraries/ledger/settlement_document.hpp"
#include "plugins/store/newest_generation.hpp"
#include "tests/support/duty_fixture.hpp"
#include "tests/support/raw_connection.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <future>

namespace pistachiohub
{

namespace
{

namespace json = boost::json;

constexpr std::uint64_t incarnation = 9;

/// The settlement duty of a gateway, and a scripted store in the platform's dialect.
class settlement_writer_fixture
{
protected:
    support::raw_listener m_store;
    kernel::daemon_context m_context{make_own_settings(m_store.port()), incarnation};
    std::unique_ptr<kernel::duty> m_duty;
    std::unique_ptr<support::running_duty> m_running;

    static kernel::settings make_own_settings(std::uint16_t store_port)
    {
        auto own = support::make_settings("host-1");
        own.store = {"127.0.0.1", store_port};
        own.gateway.emplace();
        own.gateway->interface_name = "platform";
        return own;
    }

    void start()
    {
        for (auto const& registered : kernel::registered_plugins())
        {
            if (registered.name == "settlement")
                m_duty = registered.create(m_context);
        }
        REQUIRE(m_duty);
        m_running = std::make_unique<support::running_duty>(*m_duty);
    }

    void settle(std::string const& id, outcome result)
    {
        events::settle_request settled;
        settled.id = {"host-1", incarnation, 0, id};
        settled.service = "redeem";
        settled.result = result;
        support::push(m_context.shared<kernel::mailbox<events::settle_request>>(),
                      std::move(settled));
    }

    /// Stops the duty while the store's answers are given by the test.
    [[nodiscard]] std::future<void> stop()
    {
        return std::async(std::launch::async,
                          [this]()
                          {
                              m_running->stop();
                          });
    }

    static void answer(support::raw_connection& connection,
                       std::string const& status,
                       std::string const& body,
                       std::string const& headers = "")
    {
        connection.send("HTTP/1.1 " + status + "\r\n" + headers +
                        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    /// @returns the settlement in a write.
    [[nodiscard]] static ledger::settlement_document settlement_in(std::string const& message)
    {
        auto const body = json::parse(message.substr(message.find("\r\n\r\n") + 4));
        return ledger::parse_settlement(json::serialize(body.at("spec")));
    }
};

constexpr auto written = R"({"metadata": {"name": "host-1.9", "revision": 41}})";

} // namespace

// A daemon that ends in peace leaves all its counts behind, and the ids that nobody knows about.
TEST_CASE_METHOD(settlement_writer_fixture,
                 "settlement_writer_that_stops_writes_all_counts",
                 "[store][concurrent]")
{
    start();
    settle("a", outcome::ran);
    settle("b", outcome::ran);
    settle("c", outcome::not_run);
    settle("d", outcome::unresolved);
    auto stopped = stop();
    auto connection = m_store.accept();
    auto const message = connection.receive_message();
    answer(connection, "200 OK", written);
    stopped.get();
    CHECK(message.starts_with("POST /pistachiohub/objects/settlements "));
    auto const settlement = settlement_in(message);
    REQUIRE(settlement.windows.size() == 1);
    CHECK(settlement.windows[0].services.at("redeem") == ledger::outcome_counts{2, 1, 1});
    REQUIRE(settlement.unresolved.size() == 1);
    CHECK(settlement.unresolved[0].id == "host-1/9/0/d");
}

// The text is cumulative, so a write that is repeated because its answer was lost counts once.
TEST_CASE_METHOD(settlement_writer_fixture,
                 "settlement_writer_lost_answer_is_read_back",
                 "[store][concurrent]")
{
    start();
    settle("a", outcome::ran);
    auto stopped = stop();
    std::string first;
    {
        auto connection = m_store.accept();
        first = connection.receive_message();
    }
    auto connection = m_store.accept();
    auto const second = connection.receive_message();
    CHECK(second.starts_with("GET /pistachiohub/objects/settlements/host-1.9 "));
    auto const body = json::parse(first.substr(first.find("\r\n\r\n") + 4));
    answer(connection,
           "200 OK",
           R"({"metadata": {"name": "host-1.9", "revision": 41}, "spec": )" +
               json::serialize(body.at("spec")) + R"(, "status": null})");
    stopped.get();
    CHECK_FALSE(m_store.has_connection(0));
}

// The process ends before it is killed, also when the store is away.
TEST_CASE_METHOD(settlement_writer_fixture,
                 "settlement_writer_without_store_ends_soon",
                 "[store][concurrent]")
{
    start();
    settle("a", outcome::ran);
    auto const begin = kernel::monotonic_now();
    auto stopped = stop();
    for (int tries = 0; tries < 3; ++tries)
    {
        auto connection = m_store.accept();
        REQUIRE_FALSE(connection.receive_message().empty());
        // The connection is not kept, so that the next call is made on a new one.
        answer(connection, "503 Service Unavailable\r\nConnection: close", "{}");
    }
    stopped.get();
    CHECK(kernel::monotonic_now() - begin < support::wait_limit);
}

// Guards against counts that are lost for good when the store comes back from an older copy and no
// further request is settled.
TEST_CASE_METHOD(settlement_writer_fixture,
                 "settlement_writer_writes_again_what_a_restored_store_lacks",
                 "[store][concurrent]")
{
    start();
    settle("a", outcome::ran);
    auto connection = m_store.accept();
    REQUIRE(connection.receive_message().starts_with("POST "));
    answer(connection, "200 OK", written, "Store-Era: 1\r\n");
    m_context.shared<store::newest_generation>().note(2);
    REQUIRE(connection.receive_message().starts_with("PUT "));
    answer(connection, "404 Not Found", "{}", "Store-Era: 2\r\n");
    REQUIRE(connection.receive_message().starts_with("GET "));
    answer(connection, "404 Not Found", "{}", "Store-Era: 2\r\n");
    auto const message = connection.receive_message();
    CHECK(message.starts_with("POST "));
    answer(connection, "200 OK", written, "Store-Era: 2\r\n");
    auto const settlement = settlement_in(message);
    REQUIRE(settlement.windows.size() == 1);
    CHECK(settlement.windows[0].services.at("redeem") == ledger::outcome_counts{1, 0, 0});
}

} // namespace pistachiohub
