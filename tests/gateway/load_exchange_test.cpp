#include "plugins/gateway/load_exchange.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <thread>

namespace pistachiohub
{

namespace
{

using std::chrono::milliseconds;
namespace asio = boost::asio;

// Time within which a datagram on this machine must arrive; many times the publish interval.
constexpr auto max_wait = std::chrono::seconds(5);

/// One daemon's table and exchange, on a free port of the loopback address.
struct exchanging_daemon
{
    kernel::metrics own_metrics;
    gateway::server_table table;
    std::unique_ptr<gateway::load_exchange> exchange;

    explicit exchanging_daemon(kernel::event_loop& loop)
    {
        fleet::backend_server server;
        server.id = "i-1";
        server.service = "s";
        server.slots = 4;
        gateway::apply(table,
                       events::store_update<fleet::backend_server>{false, 1, {{"i-1", 1, server}}},
                       kernel::monotonic_now());
        exchange = std::make_unique<gateway::load_exchange>(
            loop, own_metrics, kernel::endpoint{"127.0.0.1", 0}, table);
    }

    [[nodiscard]] gateway::known_server& server()
    {
        return *table.servers.at("i-1");
    }
};

} // namespace

/// A reader and two followers on one loop.
class load_exchange_fixture
{
protected:
    kernel::event_loop m_loop;
    exchanging_daemon m_reader{m_loop};
    exchanging_daemon m_first{m_loop};
    exchanging_daemon m_second{m_loop};

    load_exchange_fixture()
    {
        m_first.exchange->set_reader(m_reader.exchange->address(), kernel::monotonic_now());
        m_second.exchange->set_reader(m_reader.exchange->address(), kernel::monotonic_now());
    }

    /// Runs the loop until the condition holds.
    /// @returns whether the condition held before the time limit.
    template<class Condition>
    [[nodiscard]] bool run_until(Condition&& condition)
    {
        auto const ends_at = kernel::monotonic_now() + max_wait;
        while (!condition() && kernel::monotonic_now() < ends_at)
            m_loop.context().run_one_for(milliseconds(50));
        return condition();
    }
};

TEST_CASE_METHOD(load_exchange_fixture,
                 "load_exchange_load_of_one_follower_reaches_the_other",
                 "[gateway]")
{
    // The reader knows a follower once it has received a datagram from it.
    REQUIRE(run_until(
        [this]()
        {
            auto const datagrams_read =
                m_reader.own_metrics
                    .find_counter("pistachiohub_gateway_load_datagrams_total", {"result", "read"})
                    .value();
            return datagrams_read >= 2;
        }));
    gateway::record_load(m_first.server(), {9, 0, {}, {}}, kernel::monotonic_now());
    CHECK(run_until(
        [this]()
        {
            return m_second.server().report.total.running == 9 &&
                   m_reader.server().report.total.running == 9;
        }));
    CHECK_FALSE(m_second.server().report.is_direct);
}

TEST_CASE_METHOD(load_exchange_fixture, "load_exchange_malformed_datagram_is_counted", "[gateway]")
{
    asio::ip::udp::socket stranger(m_loop.context(), {asio::ip::make_address("127.0.0.1"), 0});
    stranger.send_to(asio::buffer("neither a load nor a version", 28),
                     {asio::ip::make_address("127.0.0.1"), m_reader.exchange->address().port});
    CHECK(run_until(
        [this]()
        {
            return m_reader.own_metrics
                       .find_counter("pistachiohub_gateway_load_datagrams_total",
                                     {"result", "malformed"})
                       .value() == 1;
        }));
}

// The reader's address comes from the store, where any client may write.
TEST_CASE_METHOD(load_exchange_fixture,
                 "load_exchange_reader_without_usable_address_is_no_reader",
                 "[gateway]")
{
    auto const address = GENERATE(std::string("localhost"), std::string(""), std::string("::x"));
    REQUIRE_NOTHROW(m_first.exchange->set_reader({address, 80}, kernel::monotonic_now()));
}

} // namespace pistachiohub
