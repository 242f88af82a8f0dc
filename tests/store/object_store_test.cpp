#include "libraries/object_store/object_store.hpp"
#include "tests/store/fake_store.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

namespace pistachiohub
{

namespace
{

using object_store::status;

class object_store_fixture
{
protected:
    tests::fake_store m_store;
    object_store::client m_client{m_store.endpoint(),
                                  {std::chrono::milliseconds(500), std::chrono::milliseconds(300)}};
};

} // namespace

TEST_CASE_METHOD(object_store_fixture,
                 "object_store_conditional_update_detects_conflict",
                 "[store][concurrent]")
{
    CHECK(m_client.read("journal", "a").end == status::missing);
    CHECK(m_client.write("journal", "a", 0, R"({"x":1})").version == 1);
    CHECK(m_client.write("journal", "a", 0, R"({"x":2})").end == status::conflict);
    auto const found = m_client.read("journal", "a");
    CHECK(found.found.value == R"({"x":1})");
    CHECK(m_client.list("journal").objects.size() == 1);
}

// A lost answer reported as an outage would be counted as not written and written twice.
TEST_CASE_METHOD(object_store_fixture,
                 "object_store_each_fault_has_its_status",
                 "[store][concurrent]")
{
    m_store.fail_writes("journal", tests::write_fault::lost_after_effect, 1);
    CHECK(m_client.write("journal", "a", 0, "{}").end == status::lost_answer);
    CHECK(m_client.read("journal", "a").found.version == 1);
    m_store.fail_writes("journal", tests::write_fault::over_rate, 1);
    CHECK(m_client.write("journal", "a", 1, "{}").end == status::over_rate);
    m_store.is_down = true;
    CHECK(m_client.write("journal", "a", 1, "{}").end == status::outage);
    CHECK(m_client.read("journal", "a").end == status::outage);
    m_store.is_down = false;
    m_store.delay_ms = 600;
    CHECK(m_client.write("journal", "a", 1, "{}").end == status::lost_answer);
}

TEST_CASE("object_store_without_server_is_an_outage", "[store]")
{
    object_store::client client(kernel::endpoint{"127.0.0.1", 1});
    CHECK(client.write("journal", "a", 0, "{}").end == status::outage);
}

// A long poll that ignores a stop would hold up the shutdown of the daemon.
TEST_CASE_METHOD(object_store_fixture,
                 "object_store_cancel_ends_long_poll_within_200_ms",
                 "[store][concurrent]")
{
    std::thread canceller(
        [&]()
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            m_client.cancel();
        });
    auto const start = std::chrono::steady_clock::now();
    CHECK(m_client.watch("configuration", {}, std::chrono::seconds(20)).end == status::cancelled);
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(250));
    canceller.join();
    CHECK(m_client.read("journal", "a").end == status::cancelled);
}

} // namespace pistachiohub
